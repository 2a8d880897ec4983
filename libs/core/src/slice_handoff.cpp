#include "ownership_internal.hpp"

#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

#include <algorithm>

/// Hands slices off to other nodes by a release under a plan version that names the receiver. The
/// slice is served until that version is active. Neither the release nor its acceptance needs the
/// store.
namespace azureladder::core {

namespace {

void set_phase(held_slice& held, slice_phase phase, time_point now)
{
    held.m_phase = phase;
    held.m_receiver_superseded_at = time_point{};
    held.m_phase_since = now;
    held.m_next_send = now;
}

bool must_hand_off_all(const node_state& state, time_point now)
{
    return state.m_stopping || is_node_out_of_service(state) || has_lost_witnesses(state, now);
}

bool must_hand_off(const node_state& state, time_point now, const slice_id& slice,
                   const held_slice& held)
{
    if (must_hand_off_all(state, now) || !held.m_allowed)
        return true;
    return slice.m_space != claim_space && is_backend_leaving(state, now);
}

/// Member that the active plan names for the slice. A plan version that is not active yet must name
/// the same member, because either version can take effect if this node fails.
std::optional<member_id> receiver_in_plans(const ownership_state& own, const slice_id& slice,
                                           const held_slice& held)
{
    const auto* receiver = successor_of(own.m_active_plan, slice);
    if (receiver == nullptr || !lists_slice(own.m_active_plan, slice, held.m_epoch))
        return std::nullopt;
    if (own.m_plan.m_version != own.m_active_plan.m_version) {
        const auto* next = successor_of(own.m_plan, slice);
        if (next == nullptr || *next != *receiver || !lists_slice(own.m_plan, slice, held.m_epoch))
            return std::nullopt;
    }
    return *receiver;
}

/// Receiver to which the slice can be released now, if there is one.
std::optional<member_id> release_target(const node_state& state, time_point now,
                                        const slice_id& slice, const held_slice& held)
{
    auto receiver = receiver_in_plans(state.m_ownership, slice, held);
    if (!receiver || !is_reachable(state, now, *receiver) ||
        !is_usable_member(state, now, *receiver))
        return std::nullopt;
    const auto* newest = find_newest_plan(state.m_directory, receiver->m_node);
    const bool able = is_eligible(state, *newest, slice.m_space);
    if (!able && !state.m_stopping && !has_lost_witnesses(state, now))
        return std::nullopt;
    return receiver;
}

/// Node that should own the slice instead of this one: the desired owner, then rendezvous order.
std::optional<member_id> choose_receiver(node_state& state, time_point now, const slice_id& slice)
{
    if (state.m_ownership.m_store_down || !holds_lease(state, now))
        return std::nullopt;
    const auto& desired = desired_owners(state, slice.m_space);
    auto order = rendezvous_order(slice, eligible_nodes(state, slice.m_space));
    const bool known = slice.m_index < desired.size() &&
                       std::find(order.begin(), order.end(), desired[slice.m_index]) != order.end();
    if (known)
        order.insert(order.begin(), desired[slice.m_index]);
    for (const auto& node : order) {
        if (auto member = find_usable_member(state, now, node))
            return member;
    }
    return std::nullopt;
}

std::string handoff_reason(const node_state& state, time_point now, const held_slice& held)
{
    if (state.m_stopping)
        return "stopping";
    if (is_node_out_of_service(state))
        return "out_of_service";
    if (has_lost_witnesses(state, now))
        return "witnesses_lost";
    return held.m_allowed ? "backend_lost" : "not_allowed";
}

void start_handoff(node_state& state, time_point now, const slice_id& slice, held_slice& held)
{
    held.m_handoff_reason = handoff_reason(state, now, held);
    if (const auto standby = release_target(state, now, slice, held)) {
        held.m_handoff_receiver = *standby;
        set_phase(held, slice_phase::draining, now);
    } else if (const auto receiver = choose_receiver(state, now, slice)) {
        held.m_handoff_receiver = *receiver;
        held.m_planned_move = true;
        set_phase(held, slice_phase::moving, now);
    }
}

void advance_move(const node_state& state, time_point now, const slice_id& slice, held_slice& held)
{
    if (release_target(state, now, slice, held) == held.m_handoff_receiver) {
        set_phase(held, slice_phase::draining, now);
        return;
    }
    const bool expired = now >= held.m_phase_since + state.m_options.m_move_timeout;
    if (expired || state.m_ownership.m_store_down ||
        !is_usable_member(state, now, held.m_handoff_receiver))
        resume_serving(held, now);
}

/// Whether the reason for the handoff still applies. A slice is not moved for balance while the
/// store is down, because its new owner could not list it in a plan and no standby would cover it.
bool is_handoff_needed(const node_state& state, time_point now, const slice_id& slice,
                       const held_slice& held)
{
    if (held.m_for_balance)
        return !state.m_ownership.m_store_down;
    return must_hand_off(state, now, slice, held);
}

void advance_drain(node_state& state, time_point now, const slice_id& slice, held_slice& held)
{
    const bool valid = is_handoff_needed(state, now, slice, held) &&
                       release_target(state, now, slice, held) == held.m_handoff_receiver;
    if (!valid) {
        resume_serving(held, now);
    } else if (in_flight_request_count(state, slice) == 0) {
        set_phase(held, slice_phase::releasing, now);
        // A proposed plan that has not been written must not follow the release.
        state.m_ownership.m_proposed_plan.reset();
    }
}

/// Whether the receiver of a released slice has ended. A receiver that lost its witnesses cannot be
/// fenced by promises. Once its node has rejoined as another incarnation, it does not answer
/// either.
bool has_receiver_ended(const node_state& state, time_point now, held_slice& held)
{
    if (fenced_plan(state, held.m_handoff_receiver) != nullptr)
        return true;
    if (!is_superseded(state, held.m_handoff_receiver))
        return false;
    if (held.m_receiver_superseded_at == time_point{})
        held.m_receiver_superseded_at = now;
    return now >= held.m_receiver_superseded_at + superseded_wait;
}

/// Reclaims a slice from a receiver that has ended, which may have used the next epoch.
void reclaim_slice(node_state& state, time_point now, const slice_id& slice, held_slice& held)
{
    set_phase(held, slice_phase::taking_back, now);
    held.m_planned_move = false;
    held.m_for_balance = false;
    slice_table_change change;
    change.m_expected_entry = {self(state), held.m_epoch};
    change.m_epoch = held.m_epoch + 2;
    change.m_reason = "receiver_lost";
    change.m_already_owned = true;
    state.m_ownership.m_slice_table_changes[slice] = change;
}

void step_slice(node_state& state, time_point now, const slice_id& slice, held_slice& held)
{
    if (held.m_phase == slice_phase::serving && must_hand_off(state, now, slice, held))
        start_handoff(state, now, slice, held);
    if (held.m_phase == slice_phase::moving)
        advance_move(state, now, slice, held);
    if (held.m_phase == slice_phase::draining)
        advance_drain(state, now, slice, held);
    const bool ended =
        held.m_phase == slice_phase::releasing && has_receiver_ended(state, now, held);
    if (ended && holds_lease(state, now))
        reclaim_slice(state, now, slice, held);
}

/// Whether the receiver has written the slice table entry. Its plan lists only recorded slices, and
/// it passes on only slices that its plan lists.
bool is_recorded(const node_state& state, const slice_id& slice, const released_slice& released)
{
    const auto location = find_location(state.m_directory, slice);
    if (location && location->m_epoch > released.m_epoch + 1)
        return true;
    const auto* plan = find_plan(state.m_directory, released.m_receiver);
    return plan != nullptr && lists_slice(*plan, slice, released.m_epoch + 1);
}

void remove_recorded_releases(node_state& state)
{
    auto& released = state.m_ownership.m_released;
    for (auto entry = released.begin(); entry != released.end();) {
        const bool recorded = is_recorded(state, entry->first, entry->second);
        entry = recorded ? released.erase(entry) : std::next(entry);
    }
}

} // namespace

void resume_serving(held_slice& held, time_point now)
{
    set_phase(held, slice_phase::serving, now);
    held.m_handoff_receiver = member_id{};
    held.m_planned_move = false;
    held.m_for_balance = false;
}

void start_balance_move(held_slice& held, time_point now, const member_id& receiver)
{
    held.m_handoff_receiver = receiver;
    held.m_planned_move = true;
    held.m_for_balance = true;
    held.m_handoff_reason = "balance";
    set_phase(held, slice_phase::moving, now);
}

void step_handoffs(node_state& state, time_point now)
{
    for (auto& [slice, held] : state.m_ownership.m_slices)
        step_slice(state, now, slice, held);
    remove_recorded_releases(state);
}

} // namespace azureladder::core
