#include "ownership_internal.hpp"

#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

/// Longest wait of a stop, after the last release, for the plan without slices.
constexpr duration final_plan_wait = seconds(1);

/// Whether all slices are released and the stored plan lists none.
bool is_release_complete(const node_state& state, time_point now)
{
    const auto& own = state.m_ownership;
    if (!is_plan_written(state))
        return true;
    if (!own.m_slices.empty())
        return false;
    return own.m_plan.m_slices.empty() || now >= own.m_stop_idle_since + final_plan_wait;
}

bool has_usable_receiver(const node_state& state, time_point now)
{
    const auto plans = newest_plans(state.m_directory);
    return std::any_of(plans.begin(), plans.end(), [&](const plan* value) {
        return is_usable_member(state, now, value->m_member);
    });
}

} // namespace

void step_stop(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    if (!state.m_stopping || own.m_stop_finished)
        return;
    if (open_request_count(state) != 0) {
        own.m_stop_idle_since = time_point{};
        return;
    }
    if (own.m_stop_idle_since == time_point{})
        own.m_stop_idle_since = now;
    const bool released = is_release_complete(state, now);
    // If no other node can receive the slices, a longer wait releases none.
    const auto limit =
        has_usable_receiver(state, now) ? state.m_options.m_release_timeout : final_plan_wait;
    const bool expired = now >= own.m_stop_idle_since + limit;
    if (!released && !expired)
        return;
    if (!released)
        log_event(output, log_level::error, "stop_without_release",
                  {{"slices", own.m_slices.size()}});
    own.m_stop_finished = true;
    output.push_back(finish_stop{});
}

} // namespace azureladder::core
