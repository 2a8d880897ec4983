#include "admission_prediction.hpp"
#include "admission_queue.hpp"
#include "admission_refusal.hpp"

#include <azureladder/routing/scaled_duration.hpp>

#include <boost/crc.hpp>

#include <algorithm>
#include <cmath>

namespace azureladder::routing {

namespace {

duration blended_mean(duration mean, duration sample, double weight)
{
    if (mean == duration::zero())
        return sample;
    return scaled(mean, 1.0 - weight) + scaled(sample, weight);
}

bool may_start(admission_controller& state, bool is_call, time_point now,
               const admission_options& options)
{
    if (is_at_limit(state, is_call))
        return false;
    while (!state.m_recent_starts.empty() && now - state.m_recent_starts.front() > cold_window)
        state.m_recent_starts.pop_front();
    return state.m_cold_rate_per_s <= 0.0 || state.m_recent_starts.size() + state.m_awaited_bodies <
                                                 max_starts_in_cold_window(state, options);
}

void start(admission_controller& state, const admission_request& request, time_point now)
{
    state.m_running[request.m_id] = request;
    state.m_late_start_count += request.m_is_late ? 1 : 0;
    if (request.m_awaits_body)
        ++state.m_awaited_bodies;
    else
        state.m_recent_starts.push_back(now);
}

/// Request that all waiting requests precede, except for late ones of the least urgent priority.
admission_request least_urgent_request(const admission_controller& state)
{
    const std::uint32_t priority =
        state.m_waiting.empty() ? UINT32_MAX : state.m_waiting.back().m_priority;
    return {0, {}, priority, time_point::max(), time_point::max()};
}

/// Mean execution times of the recently executed routes, the longest first.
route_service_times slowest_routes(const admission_controller& state, time_point now,
                                   const admission_options& options)
{
    std::vector<route_service_time> result;
    for (const auto& [route, time] : state.m_service_times) {
        if (now - time.m_last_sample_at <= options.m_route_report_period)
            result.push_back({route_hash(route),
                              decayed_mean(time.m_mean, time.m_last_sample_at, now, options)});
    }
    const std::size_t count =
        std::min({result.size(), options.m_max_reported_routes, max_reported_routes});
    std::partial_sort(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(count),
                      result.end(), [](const route_service_time& a, const route_service_time& b) {
                          return a.m_mean > b.m_mean;
                      });
    return {result.begin(), result.begin() + static_cast<std::ptrdiff_t>(count)};
}

} // namespace

std::uint32_t route_hash(std::string_view route)
{
    boost::crc_32_type code;
    code.process_bytes(route.data(), route.size());
    return code.checksum();
}

admission_decision admit(admission_controller& state, const admission_request& request,
                         time_point now, const admission_options& options)
{
    if (state.m_limit == 0)
        return {admission::refuse, options.m_min_retry_after};
    const duration service = expected_service_time(state, request.m_route, now, options);
    if (now + service / 2 > request.m_deadline)
        return {admission::refuse, options.m_min_retry_after};
    if (now + scaled(service, options.m_min_target_share) <= request.m_target)
        record_offered(state, service, now, options);
    const auto first = first_startable(state);
    const bool is_next =
        first == state.m_waiting.cend() || (request.m_is_call && !first->m_is_call);
    if (is_next && may_start(state, request.m_is_call, now, options)) {
        if (request.m_is_held_back)
            return enqueue(state, request, duration::zero(), now, options);
        start(state, request, now);
        return {admission::start, duration::zero()};
    }
    const duration wait = predicted_wait(state, request, now, options);
    // Short requests delay the others little. A rejected call wastes the execution that made it.
    const bool is_short =
        request.m_is_call || service * 2 <= mean_running_service_time(state, now, options);
    const duration allowed =
        is_short ? scaled(request.m_deadline - now, options.m_short_max_deadline_share)
                 : scaled(request.m_target - now, options.m_max_target_share);
    const bool in_standing_queue = is_queued_in_time(state) && now - state.m_queue_nonempty_since >
                                                                   options.m_standing_queue_after;
    const bool is_queue_short =
        is_short || !in_standing_queue ||
        wait <= scaled(request.m_target - now, options.m_standing_queue_max_target_share);
    if (wait <= allowed - service && is_queue_short)
        return enqueue(state, request, wait, now, options);
    // A late response is better than none.
    admission_request late = request;
    late.m_is_late = true;
    const duration late_wait = predicted_late_wait(state, late, now, options);
    const duration late_allowed =
        scaled(request.m_deadline - now, options.m_late_max_deadline_share) - service;
    if (request.m_accepts_late && late_wait <= late_allowed)
        return enqueue(state, late, late_wait, now, options);
    return refuse(state, request, wait, now, options);
}

std::vector<admission_request> start_waiting_requests(admission_controller& state, time_point now,
                                                      const admission_options& options)
{
    std::vector<admission_request> result;
    const auto may_start_next = [&] {
        const auto next = first_startable(state);
        return next != state.m_waiting.cend() && may_start(state, next->m_is_call, now, options);
    };
    if (!may_start_next())
        return result;
    demote_late_requests(state, now, options);
    while (may_start_next()) {
        const auto next = first_startable(state);
        result.push_back(*next);
        state.m_waiting.erase(next);
        start(state, result.back(), now);
    }
    return result;
}

void finish_execution(admission_controller& state, std::uint64_t id, duration elapsed,
                      execution_outcome outcome, time_point now, const admission_options& options)
{
    const auto found = state.m_running.find(id);
    if (found == state.m_running.end())
        return;
    const std::string route = found->second.m_route;
    if (found->second.m_awaits_body)
        --state.m_awaited_bodies;
    state.m_running.erase(found);
    if (outcome == execution_outcome::abandoned)
        return;
    const double weight = options.m_sample_weight;
    state.m_last_outcome_at = now;
    const double failed = outcome == execution_outcome::failed ? 1.0 : 0.0;
    state.m_failure_share += weight * (failed - state.m_failure_share);
    if (outcome == execution_outcome::failed)
        return;
    auto& mean = state.m_service_times[route];
    mean.m_mean = blended_mean(mean.m_mean, elapsed, weight);
    mean.m_last_sample_at = now;
    state.m_mean_service_time = blended_mean(state.m_mean_service_time, elapsed, weight);
    state.m_last_sample_at = now;
}

load_report make_load_report(const admission_controller& state, bool open, time_point now,
                             const admission_options& options)
{
    load_report report;
    report.m_open = open && state.m_limit > 0;
    report.m_running = static_cast<std::uint32_t>(state.m_running.size());
    report.m_waiting = static_cast<std::uint32_t>(state.m_waiting.size());
    report.m_limit = state.m_limit;
    report.m_service_time =
        decayed_mean(state.m_mean_service_time, state.m_last_sample_at, now, options);
    report.m_route_times = slowest_routes(state, now, options);
    report.m_predicted_wait =
        std::min(predicted_wait(state, least_urgent_request(state), now, options),
                 options.m_max_reported_wait);
    admission_request call = least_urgent_request(state);
    call.m_is_call = true;
    call.m_priority = UINT32_MAX;
    report.m_call_wait =
        std::min(predicted_wait(state, call, now, options), options.m_max_reported_wait);
    report.m_failure_share =
        state.m_failure_share * (1.0 - decayed_share(state.m_last_outcome_at, now, options));
    report.m_cold_rate_per_s = state.m_cold_rate_per_s;
    return report;
}

} // namespace azureladder::routing
