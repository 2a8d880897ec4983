#include <azureladder/core/ownership.hpp>
#include <azureladder/core/step.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

bool change_in_progress(const configuration_state& configuration)
{
    return configuration.m_read_operation != 0 ||
           std::any_of(configuration.m_changes.begin(), configuration.m_changes.end(),
                       [](const auto& entry) {
                           const auto phase = entry.second.m_phase;
                           return phase == change_phase::writing ||
                                  phase == change_phase::reading_back ||
                                  phase == change_phase::spreading;
                       });
}

bool plan_in_progress(const ownership_state& own)
{
    return own.m_phase != join_phase::joined || own.m_proposed_plan ||
           own.m_plan.m_version != own.m_active_plan.m_version ||
           !own.m_plan.m_previous_witnesses.empty() ||
           own.m_plan.m_slices.size() != own.m_slices.size();
}

bool slice_in_progress(const ownership_state& own)
{
    return !own.m_slice_table_changes.empty() ||
           std::any_of(own.m_slices.begin(), own.m_slices.end(), [](const auto& entry) {
               const auto& held = entry.second;
               return held.m_phase != slice_phase::serving || !held.m_recorded ||
                      !held.m_start_logged;
           });
}

bool request_in_progress(const node_state& state)
{
    return !state.m_routing.m_requests.empty() || !state.m_routing.m_attempts.empty() ||
           !state.m_claims.m_copies.empty() || !state.m_claims.m_results.empty();
}

} // namespace

time_point next_tick(const node_state& state, time_point now)
{
    const auto& own = state.m_ownership;
    const auto soonest = now + state.m_options.m_tick_interval;
    if (state.m_stopping || !holds_lease(state, now) || !own.m_operations.empty() ||
        request_in_progress(state) || plan_in_progress(own) || slice_in_progress(own) ||
        change_in_progress(state.m_configuration))
        return soonest;
    auto due = now + state.m_options.m_idle_tick_interval;
    due = std::min({due, own.m_next_lease_round, lease_end(state)});
    for (const auto& [member, granted] : own.m_granted_leases)
        due = std::min(due, granted.m_promised ? granted.m_next_send : granted.m_expires);
    return std::max(due, soonest);
}

} // namespace azureladder::core
