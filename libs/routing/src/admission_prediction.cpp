#include "admission_prediction.hpp"

#include "admission_queue.hpp"

#include <azureladder/routing/scaled_duration.hpp>

#include <algorithm>
#include <cmath>

namespace azureladder::routing {

double decayed_share(time_point last_sample, time_point now, const admission_options& options)
{
    const duration beyond = now - last_sample - options.m_decay_after;
    if (beyond <= duration::zero())
        return 0.0;
    return 1.0 - std::pow(0.9, std::chrono::duration<double>(beyond).count());
}

duration decayed_mean(duration mean, time_point last_sample, time_point now,
                      const admission_options& options)
{
    if (mean == duration::zero())
        return options.m_default_service_time;
    const double share = decayed_share(last_sample, now, options);
    return scaled(mean, 1.0 - share) +
           scaled(std::min(mean, options.m_default_service_time), share);
}

duration expected_service_time(const admission_controller& state, const std::string& route,
                               time_point now, const admission_options& options)
{
    const auto found = state.m_service_times.find(route);
    if (found == state.m_service_times.end())
        return decayed_mean(state.m_mean_service_time, state.m_last_sample_at, now, options);
    return decayed_mean(found->second.m_mean, found->second.m_last_sample_at, now, options);
}

duration mean_running_service_time(const admission_controller& state, time_point now,
                                   const admission_options& options)
{
    if (state.m_running.empty())
        return duration::zero();
    duration sum{};
    for (const auto& [id, running] : state.m_running)
        sum += expected_service_time(state, running.m_route, now, options);
    return sum / static_cast<std::int64_t>(state.m_running.size());
}

duration predicted_wait(const admission_controller& state, const admission_request& request,
                        time_point now, const admission_options& options)
{
    duration work = mean_running_service_time(state, now, options);
    std::size_t ahead = 0;
    for (const auto& waiting : state.m_waiting) {
        if (is_more_urgent(request, waiting))
            continue;
        work += expected_service_time(state, waiting.m_route, now, options);
        ++ahead;
    }
    duration wait{};
    if (state.m_running.size() >= state.m_limit)
        wait = work / std::max<std::uint32_t>(state.m_limit, 1);
    if (state.m_cold_rate_per_s > 0.0)
        wait = std::max(
            wait, scaled(cold_window, static_cast<double>(ahead + 1) / state.m_cold_rate_per_s));
    return wait;
}

namespace {

double offered_weight(const admission_controller& state, time_point now,
                      const admission_options& options)
{
    return std::exp(-std::chrono::duration<double>(now - state.m_offered.m_at) /
                    std::chrono::duration<double>(options.m_offered_load_time));
}

} // namespace

void record_offered(admission_controller& state, duration service, time_point now,
                    const admission_options& options)
{
    const double weight = offered_weight(state, now, options);
    state.m_offered.m_requests = state.m_offered.m_requests * weight + 1.0;
    state.m_offered.m_work =
        state.m_offered.m_work * weight + std::chrono::duration<double>(service).count();
    state.m_offered.m_at = now;
}

double leftover_share(const admission_controller& state, time_point now,
                      const admission_options& options)
{
    const double per_s = offered_weight(state, now, options) /
                         std::chrono::duration<double>(options.m_offered_load_time).count();
    double used = state.m_offered.m_work * per_s / std::max<std::uint32_t>(state.m_limit, 1);
    if (state.m_cold_rate_per_s > 0.0)
        used = std::max(used, state.m_offered.m_requests * per_s / state.m_cold_rate_per_s);
    return std::clamp(1.0 - used, 0.0, 1.0);
}

duration predicted_late_wait(const admission_controller& state, const admission_request& late,
                             time_point now, const admission_options& options)
{
    const double share = leftover_share(state, now, options);
    if (share < options.m_min_leftover_share)
        return duration::max();
    return scaled(predicted_wait(state, late, now, options), 1.0 / share);
}

} // namespace azureladder::routing
