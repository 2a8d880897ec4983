#include <azureladder/routing/placement.hpp>

#include <algorithm>

namespace azureladder::routing {

namespace {

duration service_time(const gate_report& report, const placement_options& options)
{
    return report.m_service_time > duration::zero() ? report.m_service_time
                                                    : options.m_default_service_time;
}

duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

} // namespace

duration expected_wait(const gate_report& report, std::uint32_t sent_since_report,
                       const placement_options& options)
{
    const double limit = std::max<std::uint32_t>(report.m_limit, 1);
    const double ahead =
        static_cast<double>(report.m_running) + report.m_waiting + sent_since_report;
    duration wait{};
    if (ahead >= limit)
        wait = scaled(service_time(report, options), (ahead - limit + 1.0) / limit);
    if (report.m_cold_rate_per_s > 0.0) {
        const double queued = static_cast<double>(report.m_waiting) + sent_since_report;
        wait = std::max(wait, scaled(seconds(1), queued / report.m_cold_rate_per_s));
    }
    return wait;
}

duration expected_cost(const placement_candidate& candidate, const placement_options& options)
{
    const gate_report& report = candidate.m_report;
    const double limit = std::max<std::uint32_t>(report.m_limit, 1);
    const double use = std::min(1.0, (report.m_running + candidate.m_sent_since_report) / limit);
    // Servers slow down when they are nearly full, so a busy one costs up to half as much again.
    duration cost = scaled(service_time(report, options), 1.0 + 0.5 * use * use);
    cost += expected_wait(report, candidate.m_sent_since_report, options);
    cost += candidate.m_distance;
    cost += scaled(options.m_failure_penalty, report.m_failure_share);
    if (!candidate.m_same_zone)
        cost += options.m_zone_penalty;
    return cost;
}

std::size_t choose_candidate(const std::vector<placement_candidate>& candidates,
                             const placement_options& options, std::uint64_t random)
{
    std::vector<duration> costs(candidates.size());
    duration best = duration::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].m_report.m_open)
            continue;
        costs[i] = expected_cost(candidates[i], options);
        best = std::min(best, costs[i]);
    }
    if (best == duration::max())
        return candidates.size();
    std::vector<std::size_t> near;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].m_report.m_open && costs[i] <= best + best / 10)
            near.push_back(i);
    }
    return near[random % near.size()];
}

} // namespace azureladder::routing
