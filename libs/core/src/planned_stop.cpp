#include "ownership_internal.hpp"

#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

namespace azureladder::core {

namespace {

/// Time for which a stop waits for the plan without slices after the last release.
constexpr duration final_plan_wait = seconds(1);

/// Whether nothing is left to give up. Slices go first, then the plan that lists them.
bool has_released(const node_state& state, time_point now)
{
    const auto& own = state.m_ownership;
    if (!plan_written(state))
        return true;
    if (!own.m_slices.empty())
        return false;
    return own.m_plan.m_slices.empty() || now >= own.m_stop_idle_since + final_plan_wait;
}

} // namespace

void step_stop(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    if (!state.m_stopping || own.m_stop_finished)
        return;
    if (open_requests(state) != 0) {
        own.m_stop_idle_since = time_point{};
        return;
    }
    if (own.m_stop_idle_since == time_point{})
        own.m_stop_idle_since = now;
    const bool released = has_released(state, now);
    const bool expired = now >= own.m_stop_idle_since + state.m_options.m_release_timeout;
    if (!released && !expired)
        return;
    if (!released)
        log_event(output, log_level::error, "stop_without_release",
                  {{"slices", own.m_slices.size()}});
    own.m_stop_finished = true;
    output.push_back(finish_stop{});
}

} // namespace azureladder::core
