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

namespace {

/// Time until the rate limit of a cold server allows a start after `ahead` others. A start becomes
/// possible when an earlier one leaves the window.
duration cold_wait(const admission_controller& state, std::size_t ahead, time_point now,
                   const admission_options& options)
{
    const auto& starts = state.m_recent_starts;
    const auto first = std::find_if(starts.begin(), starts.end(),
                                    [&](time_point at) { return now - at <= cold_window; });
    const auto recent = static_cast<std::size_t>(starts.end() - first);
    const std::size_t limit = max_starts_in_cold_window(state, options);
    if (recent + ahead < limit)
        return duration::zero();
    const std::size_t leaving = ahead + recent - limit;
    if (leaving < recent)
        return cold_window - (now - *(first + static_cast<std::ptrdiff_t>(leaving)));
    return scaled(cold_window, static_cast<double>(leaving + 1) / static_cast<double>(limit));
}

/// Slots that requests of this kind (calls or others) may use. At least one, unless no server can
/// execute their calls, so that the end of a shortage is noticed.
std::uint32_t usable_slots(const admission_controller& state, bool is_call)
{
    if (is_call || state.m_new_request_share >= 1.0)
        return state.m_limit;
    if (state.m_new_request_share <= 0.0)
        return 0;
    return std::max(1U, static_cast<std::uint32_t>(state.m_limit * state.m_new_request_share));
}

} // namespace

bool is_at_limit(const admission_controller& state, bool is_call)
{
    if (state.m_running.size() >= state.m_limit)
        return true;
    if (is_call || state.m_new_request_share >= 1.0)
        return false;
    const auto count = std::count_if(state.m_running.begin(), state.m_running.end(),
                                     [](const auto& running) { return !running.second.m_is_call; });
    return count >= static_cast<std::ptrdiff_t>(usable_slots(state, is_call));
}

std::size_t max_starts_in_cold_window(const admission_controller& state,
                                      const admission_options& options)
{
    return static_cast<std::size_t>(
        std::max(1.0, std::floor(state.m_cold_rate_per_s * options.m_cold_rate_factor)));
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
    const std::uint32_t slots = usable_slots(state, request.m_is_call);
    if (slots == 0 && state.m_limit > 0)
        return duration::max();
    duration work = mean_running_service_time(state, now, options);
    std::size_t ahead = 0;
    for (const auto& waiting : state.m_waiting) {
        if (is_more_urgent(request, waiting))
            continue;
        work += expected_service_time(state, waiting.m_route, now, options);
        ++ahead;
    }
    duration wait{};
    if (is_at_limit(state, request.m_is_call))
        wait = work / std::max<std::uint32_t>(slots, 1);
    if (state.m_cold_rate_per_s > 0.0)
        wait = std::max(wait, cold_wait(state, ahead, now, options));
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
    const std::uint32_t slots = usable_slots(state, false);
    double used = state.m_offered.m_work * per_s / std::max<std::uint32_t>(slots, 1);
    if (state.m_cold_rate_per_s > 0.0)
        used = std::max(used, state.m_offered.m_requests * per_s / state.m_cold_rate_per_s);
    return std::clamp(1.0 - used, 0.0, 1.0);
}

duration predicted_late_wait(const admission_controller& state, const admission_request& late,
                             time_point now, const admission_options& options)
{
    const double share = leftover_share(state, now, options);
    const duration wait = predicted_wait(state, late, now, options);
    if (share < options.m_min_leftover_share || wait == duration::max())
        return duration::max();
    return scaled(wait, 1.0 / share);
}

} // namespace azureladder::routing
