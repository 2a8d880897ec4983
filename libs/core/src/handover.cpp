#include "ownership_internal.hpp"

#include <azureladder/core/ownership.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

bool active_plan_lists(const ownership_state& own, const slice_id& slice)
{
    const auto& slices = own.m_active.m_slices;
    return std::any_of(slices.begin(), slices.end(),
                       [&](const owned_slice& owned) { return owned.m_slice == slice; });
}

void set_phase(held_slice& held, slice_phase phase, time_point now)
{
    held.m_phase = phase;
    held.m_phase_since = now;
    held.m_next_send = now;
}

void send_handover(const node_state& state, time_point now, const slice_id& slice,
                   const held_slice& held, effects& output)
{
    const auto* known = find_plan(state.m_directory, held.m_target);
    if (known == nullptr)
        return;
    handover message;
    message.m_slice = {slice, held.m_epoch + 1};
    message.m_claims = claims_to_send(state, slice, now);
    output.push_back(send_message{held.m_target, known->m_peer_address, std::move(message)});
}

bool can_receive(const node_state& state, time_point now, const slice_id& slice)
{
    if (!takes_new_work(state, now) || !allowed_by_records(state, slice))
        return false;
    if (state.m_ownership.m_store_down)
        return false;
    return slice.m_space == claim_space || !backend_leaving(state, now);
}

/// A move that cannot be written ends while the store is down. Before the handover is sent, this
/// node is the owner in the slice table and nobody was offered the slice.
bool must_resume(const ownership_state& own, const held_slice& held)
{
    const bool drains_for_move = held.m_phase == slice_phase::draining && !held.m_by_release;
    const bool moving = drains_for_move || held.m_phase == slice_phase::leaving_plan;
    return own.m_store_down && moving;
}

} // namespace

void start_handover(held_slice& held, time_point now, const member_ref& target,
                    const std::string& reason)
{
    held.m_target = target;
    held.m_by_release = false;
    held.m_exit_reason = reason;
    set_phase(held, slice_phase::draining, now);
}

std::optional<member_ref> handover_target(node_state& state, time_point now, const slice_id& slice)
{
    if (state.m_ownership.m_store_down || !holds_lease(state, now))
        return std::nullopt;
    const auto& desired = desired_owners(state, slice.m_space);
    auto order = eligible_nodes(state, slice.m_space);
    std::sort(order.begin(), order.end(), [&](const node_id& a, const node_id& b) {
        return rendezvous_score(slice, a) > rendezvous_score(slice, b);
    });
    const bool known = slice.m_index < desired.size() &&
                       std::find(order.begin(), order.end(), desired[slice.m_index]) != order.end();
    if (known)
        order.insert(order.begin(), desired[slice.m_index]);
    for (const auto& node : order) {
        const auto* newest = find_newest_plan(state.m_directory, node);
        if (newest != nullptr && is_usable_member(state, now, newest->m_member))
            return newest->m_member;
    }
    return std::nullopt;
}

void take_back(node_state& state, time_point now, const slice_id& slice, held_slice& held,
               const std::string& reason)
{
    set_phase(held, slice_phase::taking_back, now);
    entry_change change;
    change.m_expected = {self(state), held.m_epoch};
    change.m_epoch = held.m_epoch + 2;
    change.m_reason = reason;
    change.m_held = true;
    state.m_ownership.m_entry_changes[slice] = change;
}

void step_handover(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    for (auto& [slice, held] : own.m_slices) {
        if (must_resume(own, held))
            set_phase(held, slice_phase::serving, now);
        if (held.m_phase == slice_phase::leaving_plan && plan_settled(state) &&
            !active_plan_lists(own, slice))
            set_phase(held, slice_phase::handing_over, now);
        if (held.m_phase != slice_phase::handing_over)
            continue;
        if (now >= held.m_phase_since + state.m_options.m_handover_timeout) {
            own.m_avoid_until[held.m_target] = now + state.m_options.m_avoid_time;
            take_back(state, now, slice, held, "handover_timeout");
        } else if (now >= held.m_next_send) {
            held.m_next_send = now + state.m_options.m_resend_interval;
            send_handover(state, now, slice, held, output);
        }
    }
}

void send_handover_ack(const entry_change& change, const slice_id& slice, bool accepted,
                       effects& output)
{
    handover_ack ack;
    ack.m_slice = {slice, change.m_epoch};
    ack.m_accepted = accepted;
    output.push_back(send_message{change.m_giver, change.m_giver_address, ack});
}

void handle_handover(node_state& state, time_point now, const message_received& received,
                     const handover& offer, effects& output)
{
    auto& own = state.m_ownership;
    const auto& slice = offer.m_slice.m_slice;
    entry_change change;
    change.m_expected = {received.m_from, offer.m_slice.m_epoch - 1};
    change.m_epoch = offer.m_slice.m_epoch;
    change.m_reason = "handover";
    change.m_giver = received.m_from;
    change.m_giver_address = received.m_reply_to;
    change.m_claims = offer.m_claims;
    const auto held = own.m_slices.find(slice);
    if (held != own.m_slices.end()) {
        send_handover_ack(change, slice, held->second.m_epoch == change.m_epoch, output);
        return;
    }
    const auto pending = own.m_entry_changes.find(slice);
    if (pending != own.m_entry_changes.end() && pending->second.m_giver == received.m_from &&
        pending->second.m_epoch == change.m_epoch)
        return;
    if (!can_receive(state, now, slice)) {
        send_handover_ack(change, slice, false, output);
        return;
    }
    own.m_entry_changes[slice] = std::move(change);
    step_entry_changes(state, now, output);
}

void handle_handover_ack(node_state& state, time_point now, const message_received& received,
                         const handover_ack& ack, effects& output)
{
    const auto& slice = ack.m_slice.m_slice;
    if (ack.m_accepted) {
        learn_location(state, slice, {received.m_from, ack.m_slice.m_epoch}, output);
        return;
    }
    const auto found = state.m_ownership.m_slices.find(slice);
    if (found == state.m_ownership.m_slices.end())
        return;
    auto& held = found->second;
    const bool awaited = held.m_phase == slice_phase::handing_over &&
                         held.m_target == received.m_from &&
                         held.m_epoch + 1 == ack.m_slice.m_epoch;
    if (awaited)
        take_back(state, now, slice, held, "handover_refused");
}

} // namespace azureladder::core
