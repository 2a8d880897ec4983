#include "ownership_internal.hpp"

#include <azureladder/core/claims.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

std::vector<owned_slice> planned_slices(const ownership_state& own)
{
    std::vector<owned_slice> result;
    for (const auto& [slice, held] : own.m_slices) {
        // A plan may list only slices for which the slice table names this node as owner.
        if (held.m_recorded && held.m_phase != slice_phase::taking_back)
            result.push_back({slice, held.m_epoch});
    }
    for (const auto& [slice, released] : own.m_released) {
        if (own.m_slices.count(slice) == 0)
            result.push_back({slice, released.m_epoch});
    }
    return result;
}

std::vector<planned_move> planned_moves(const ownership_state& own)
{
    std::vector<planned_move> result;
    for (const auto& [slice, held] : own.m_slices) {
        if (held.m_recorded && held.m_planned_move)
            result.push_back({slice, held.m_handoff_receiver});
    }
    for (const auto& [slice, released] : own.m_released) {
        if (own.m_slices.count(slice) == 0)
            result.push_back({slice, released.m_receiver});
    }
    return result;
}

bool same_moves(const std::vector<planned_move>& a, const std::vector<planned_move>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const planned_move& left, const planned_move& right) {
                          return left.m_slice == right.m_slice &&
                                 left.m_receiver == right.m_receiver;
                      });
}

bool same_slices(const std::vector<owned_slice>& a, const std::vector<owned_slice>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const owned_slice& left, const owned_slice& right) {
                          return left.m_slice == right.m_slice && left.m_epoch == right.m_epoch;
                      });
}

bool same_members(const std::vector<member_id>& a, const std::vector<member_id>& b)
{
    return a.size() == b.size() && std::is_permutation(a.begin(), a.end(), b.begin());
}

bool same_content(const plan& a, const plan& b)
{
    return a.m_witnesses == b.m_witnesses && a.m_previous_witnesses == b.m_previous_witnesses &&
           a.m_standbys == b.m_standbys && a.m_service == b.m_service && a.m_server == b.m_server &&
           same_slices(a.m_slices, b.m_slices) && same_moves(a.m_moves, b.m_moves);
}

/// Whether a release is unconfirmed. It may reach its receiver late, so the plan must stay at its
/// version until the receiver has confirmed it.
bool release_pending(const ownership_state& own)
{
    return std::any_of(own.m_slices.begin(), own.m_slices.end(), [](const auto& entry) {
        return entry.second.m_phase == slice_phase::releasing;
    });
}

bool granted_by_majority(const ownership_state& own, const std::vector<member_id>& set,
                         plan_version version)
{
    std::vector<member_id> granted{own.m_plan.m_member};
    for (const auto& [member, held] : own.m_received_grants) {
        if (held.m_version >= version)
            granted.push_back(member);
    }
    return is_majority(granted, set);
}

std::vector<slice_id> slices_with_new_successor(const plan& before, const plan& after)
{
    std::vector<slice_id> result;
    for (const auto& owned : after.m_slices) {
        const auto* standby = successor_of(after, owned.m_slice);
        if (standby == nullptr)
            continue;
        const bool known = std::any_of(
            before.m_slices.begin(), before.m_slices.end(), [&](const owned_slice& former) {
                return former.m_slice == owned.m_slice && former.m_epoch == owned.m_epoch;
            });
        const auto* former = successor_of(before, owned.m_slice);
        if (!known || former == nullptr || *former != *standby)
            result.push_back(owned.m_slice);
    }
    return result;
}

} // namespace

void set_backend_fields(const node_state& state, plan& value)
{
    if (!state.m_backend)
        return;
    value.m_service = state.m_backend->m_service;
    value.m_server = state.m_backend->m_server;
    value.m_checks_fencing = state.m_backend->m_fencing == fencing::checked;
}

bool is_plan_settled(const node_state& state)
{
    const auto& own = state.m_ownership;
    return own.m_phase == join_phase::joined && !own.m_proposed_plan &&
           own.m_plan.m_version == own.m_active_plan.m_version;
}

std::optional<plan> next_plan(const node_state& state, time_point now)
{
    const auto& own = state.m_ownership;
    plan next = own.m_plan;
    ++next.m_version;
    set_backend_fields(state, next);
    auto members = choose_members(state, now, {own.m_plan.m_standbys, own.m_plan.m_witnesses});
    next.m_standbys = std::move(members.m_standbys);
    next.m_previous_standbys = all_successors(own.m_plan);
    next.m_slices = planned_slices(own);
    next.m_moves = planned_moves(own);
    next.m_previous_witnesses.clear();
    if (own.m_plan.m_previous_witnesses.empty() &&
        !same_members(members.m_witnesses, own.m_plan.m_witnesses)) {
        next.m_previous_witnesses = own.m_plan.m_witnesses;
        next.m_witnesses = std::move(members.m_witnesses);
    }
    if (own.m_active_plan.m_version == 0)
        next.m_previous_witnesses.clear(); // see replace_initial_witnesses
    if (same_content(next, own.m_plan) && own.m_stored_version <= own.m_plan.m_version)
        return std::nullopt;
    return next;
}

void propose_plan_change(node_state& state, time_point now)
{
    auto& own = state.m_ownership;
    if (!is_plan_settled(state) || release_pending(own) || !is_store_due(state, now))
        return;
    // Selecting members reads all plans, so without another reason it runs only once per balance
    // interval.
    const bool caused = !own.m_plan.m_previous_witnesses.empty() ||
                        !same_slices(planned_slices(own), own.m_plan.m_slices) ||
                        !same_moves(planned_moves(own), own.m_plan.m_moves);
    if (!caused && now < own.m_next_member_check)
        return;
    own.m_next_member_check = now + state.m_options.m_balance_interval;
    own.m_proposed_plan = next_plan(state, now);
}

void activate_granted_plan(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    if (own.m_phase != join_phase::joined || own.m_plan.m_version == own.m_active_plan.m_version)
        return;
    const auto version = own.m_plan.m_version;
    if (!granted_by_majority(own, own.m_plan.m_witnesses, version) ||
        !granted_by_majority(own, own.m_plan.m_previous_witnesses, version))
        return;
    const auto to_copy = slices_with_new_successor(own.m_active_plan, own.m_plan);
    own.m_active_plan = own.m_plan;
    if (!to_copy.empty())
        copy_claims_to_standbys(state, now, to_copy, output);
}

} // namespace azureladder::core
