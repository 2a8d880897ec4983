#include <azureladder/routing/server_selection.hpp>

#include <azureladder/routing/scaled_duration.hpp>

#include <algorithm>
#include <cmath>

namespace azureladder::routing {

namespace {

duration service_time(const server_candidate& candidate, const server_selection_options& options)
{
    if (candidate.m_service_time > duration::zero())
        return candidate.m_service_time;
    return candidate.m_report.m_service_time > duration::zero() ? candidate.m_report.m_service_time
                                                                : options.m_default_service_time;
}

duration failure_cost(const load_report& report, const server_selection_options& options)
{
    return scaled(options.m_failure_penalty, report.m_failure_share);
}

} // namespace

server_selection_options options_for_target(const server_selection_options& options,
                                            duration time_left)
{
    server_selection_options result = options;
    if (!options.m_uses_target)
        return result;
    time_left = std::max(time_left, duration::zero());
    result.m_min_temperature = scaled(time_left, options.m_target_temperature);
    result.m_cross_zone_penalty = std::max(options.m_min_cross_zone_penalty,
                                           scaled(time_left, options.m_cross_zone_target_share));
    return result;
}

duration transfer_time(std::size_t bytes, double own_link_mbps, double peer_link_mbps)
{
    double mbps = std::min(own_link_mbps, peer_link_mbps);
    if (mbps <= 0.0)
        mbps = std::max(own_link_mbps, peer_link_mbps);
    if (mbps <= 0.0)
        return duration::zero();
    // One Mbit/s is one bit per microsecond.
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(static_cast<double>(bytes) * 8.0 / mbps));
}

void set_service_times(std::vector<server_candidate>& candidates, std::uint32_t route)
{
    duration sum{};
    std::int64_t known = 0;
    for (auto& candidate : candidates) {
        candidate.m_service_time = {};
        for (const auto& time : candidate.m_report.m_route_times) {
            if (time.m_route != route)
                continue;
            candidate.m_service_time = time.m_mean;
            sum += time.m_mean;
            ++known;
        }
    }
    if (known == 0)
        return;
    for (auto& candidate : candidates) {
        if (candidate.m_service_time == duration::zero())
            candidate.m_service_time = sum / known;
    }
}

duration expected_wait(const server_candidate& candidate, const server_selection_options& options)
{
    const load_report& report = candidate.m_report;
    const double limit = std::max<std::uint32_t>(report.m_limit, 1);
    const double sent = candidate.m_sent_since_report;
    const double free_slots = std::max(0.0, limit - report.m_running - report.m_waiting);
    duration wait = report.m_predicted_wait;
    if (sent > free_slots || free_slots <= 0.0)
        wait += scaled(service_time(candidate, options), (sent - free_slots) / limit);
    if (report.m_cold_rate_per_s > 0.0) {
        const double queued = report.m_waiting + sent;
        wait = std::max(wait, scaled(seconds(1), queued / report.m_cold_rate_per_s));
    }
    return wait;
}

duration expected_cost(const server_candidate& candidate, const server_selection_options& options)
{
    const load_report& report = candidate.m_report;
    const double limit = std::max<std::uint32_t>(report.m_limit, 1);
    const double freshness =
        std::exp(-std::chrono::duration<double>(candidate.m_report_age) /
                 std::chrono::duration<double>(options.m_report_time_constant));
    const double utilization =
        std::min(1.0, (report.m_running * freshness + candidate.m_sent_since_report) / limit);
    // Servers slow down near their concurrency limit: at full utilization the cost of the execution
    // time rises by half.
    duration cost = scaled(service_time(candidate, options), 1.0 + 0.5 * utilization * utilization);
    cost += scaled(expected_wait(candidate, options), freshness);
    cost += candidate.m_round_trip_time;
    cost += candidate.m_transfer_time;
    cost += failure_cost(report, options);
    if (!candidate.m_same_zone)
        cost += options.m_cross_zone_penalty;
    return cost;
}

std::size_t select_server(const std::vector<server_candidate>& candidates,
                          const server_selection_options& options, std::uint64_t random)
{
    std::vector<duration> costs(candidates.size());
    duration best_local = duration::max();
    duration best_remote = duration::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].m_report.m_open)
            continue;
        costs[i] = expected_cost(candidates[i], options);
        duration& best = candidates[i].m_same_zone ? best_local : best_remote;
        best = std::min(best, costs[i]);
    }
    const duration best = std::min(best_local, best_remote);
    if (best == duration::max())
        return candidates.size();
    const bool local_only = best_local <= best_remote;
    const double narrow_scale =
        std::max(1.0, static_cast<double>(best.count()) * options.m_softmax_temperature);
    const double scale =
        std::max({1.0, narrow_scale, static_cast<double>(options.m_min_temperature.count())});
    std::vector<double> weights(candidates.size(), 0.0);
    double sum = 0.0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const load_report& report = candidates[i].m_report;
        if (!report.m_open || (local_only && !candidates[i].m_same_zone))
            continue;
        // Throughput is estimated as slots by cost instead of by execution time, since failing
        // executions are short.
        const double capacity = std::max<std::uint32_t>(report.m_limit, 1) /
                                std::max(1.0, static_cast<double>(costs[i].count()));
        // Failures always count by the lower temperature. They cost callers more than latency.
        const duration failures = failure_cost(report, options);
        const double difference = static_cast<double>((costs[i] - best).count());
        const double failed =
            std::clamp(static_cast<double>(failures.count()), 0.0, std::max(difference, 0.0));
        weights[i] = capacity * std::exp(-(difference - failed) / scale - failed / narrow_scale);
        sum += weights[i];
    }
    // The upper 53 bits give a uniformly distributed number in [0, 1).
    double left = sum * (static_cast<double>(random >> 11) / 9007199254740992.0);
    std::size_t chosen = candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (weights[i] <= 0.0)
            continue;
        chosen = i;
        left -= weights[i];
        if (left < 0.0)
            break;
    }
    return chosen;
}

} // namespace azureladder::routing
