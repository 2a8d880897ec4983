#include "ownership_internal.hpp"

#include <azureladder/core/ownership.hpp>

namespace azureladder::core {

namespace {

bool majority_unusable(const node_state& state, time_point now, const std::vector<member_ref>& set)
{
    std::vector<member_ref> usable;
    for (const auto& member : set) {
        if (member == self(state) || is_usable_member(state, now, member))
            usable.push_back(member);
    }
    return !is_majority(usable, set);
}

bool majority_replaced(const node_state& state, const std::vector<member_ref>& set)
{
    std::vector<member_ref> remaining;
    for (const auto& member : set) {
        const auto* newest = find_newest_plan(state.m_directory, member.m_node);
        if (newest == nullptr || newest->m_member == member)
            remaining.push_back(member);
    }
    return !is_majority(remaining, set);
}

/// Replaces witnesses that were chosen at the join and whose processes have been replaced. They
/// granted nothing and, after the longest pause, cannot grant any more, so that their version can
/// never be promised. Joining again would take this node's grants from the nodes that rely on it.
void replace_first_witnesses(node_state& state, time_point now)
{
    auto& own = state.m_ownership;
    const auto wait = state.m_options.m_pause_limit + state.m_options.m_lease_duration;
    if (now < own.m_lease_held_at + wait || own.m_proposal || !own.m_slices.empty())
        return;
    own.m_proposal = next_plan(state, now);
    own.m_lease_held_at = now;
}

} // namespace

bool witnesses_lost(const node_state& state, time_point now)
{
    const auto& own = state.m_ownership;
    return own.m_phase == join_phase::joined && own.m_active.m_version != 0 &&
           !holds_lease(state, now) &&
           now >= own.m_lease_held_at + state.m_options.m_member_loss_delay;
}

void step_rejoin(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    if (own.m_phase != join_phase::joined || state.m_stopping)
        return;
    const auto& options = state.m_options;
    if (own.m_active.m_version == 0) {
        if (majority_replaced(state, own.m_plan.m_witnesses)) {
            replace_first_witnesses(state, now);
            return;
        }
        // No lease was ever held, so nothing was served. The witnesses chosen at the join are lost.
        const bool unusable = majority_unusable(state, now, own.m_plan.m_witnesses);
        const auto limit =
            unusable ? options.m_member_loss_delay / 2 : 2 * options.m_member_loss_delay;
        // Two nodes that name each other's former incarnations must not join again in step.
        if (now >= own.m_lease_held_at + limit + own.m_rejoin_jitter)
            begin_join(state, now, true, output);
        return;
    }
    if (!witnesses_lost(state, now))
        return;
    const bool expired = now >= own.m_lease_held_at + options.m_release_timeout;
    if (own.m_slices.empty() || expired)
        begin_join(state, now, true, output);
}

} // namespace azureladder::core
