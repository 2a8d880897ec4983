#include "ownership_internal.hpp"

#include <azureladder/core/claims.hpp>
#include <azureladder/core/ownership.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

bool is_standby_for(const node_state& state, const plan& value, const slice_id& slice)
{
    const auto* standby = successor_of(value, slice);
    return standby != nullptr && *standby == self(state);
}

/// Whether this node must take over the slice from the fenced plan. A location with a higher epoch
/// shows that the slice was already released or taken over.
bool must_take_over(const node_state& state, const plan& fenced, const owned_slice& owned)
{
    if (!is_standby_for(state, fenced, owned.m_slice))
        return false;
    const auto location = find_location(state.m_directory, owned.m_slice);
    return !location || location->m_epoch <= owned.m_epoch;
}

void take_ownership(node_state& state, time_point now, const plan& former, const owned_slice& owned,
                    held_slice held, effects& output)
{
    slice_table_change change;
    change.m_expected_entry = {former.m_member, owned.m_epoch};
    change.m_epoch = owned.m_epoch + 1;
    change.m_reason = held.m_reason;
    change.m_already_owned = true;
    hold_slice(state, now, {owned.m_slice, owned.m_epoch + 1}, std::move(held));
    merge_location(state, owned.m_slice, {self(state), owned.m_epoch + 1}, output);
    state.m_ownership.m_slice_table_changes[owned.m_slice] = change;
}

void take_over(node_state& state, time_point now, const plan& fenced, effects& output)
{
    std::vector<owned_slice> taken;
    for (const auto& owned : fenced.m_slices) {
        if (!must_take_over(state, fenced, owned))
            continue;
        if (!has_complete_claims(state, owned))
            mark_claims_incomplete(state, owned.m_slice, now);
        held_slice held;
        held.m_reason = "takeover";
        held.m_serve_from = now + former_execution_wait(state, owned.m_slice, &fenced);
        take_ownership(state, now, fenced, owned, held, output);
        taken.push_back({owned.m_slice, owned.m_epoch + 1});
    }
    if (taken.empty())
        return;
    log_event(output, log_level::warning, "takeover",
              {{"from", member_text(fenced.m_member)},
               {"slices", taken.size()},
               {"plan_version", fenced.m_version}});
    update_serving(state, now, output);
    send_owner_notices(state, taken, output);
}

} // namespace

const plan* fenced_plan(const node_state& state, const member_id& member)
{
    const auto& own = state.m_ownership;
    const auto promises = own.m_promises.find(member);
    const auto history = own.m_plan_history.find(member);
    if (promises == own.m_promises.end() || history == own.m_plan_history.end())
        return nullptr;
    for (const auto& [version, content] : history->second) {
        std::vector<member_id> promised;
        for (const auto& [witness, promised_version] : promises->second) {
            // Only promises for exactly this version count: a witness that granted under another
            // version may be part of the majority that keeps the member's lease valid there.
            if (promised_version == version)
                promised.push_back(witness);
        }
        if (!content.m_witnesses.empty() && is_majority(promised, content.m_witnesses) &&
            is_majority(promised, content.m_previous_witnesses))
            return &content;
    }
    return nullptr;
}

bool accept_released_slice(node_state& state, time_point now, const plan& content,
                           const owned_slice& owned, effects& output)
{
    if (!must_take_over(state, content, owned))
        return false;
    // The former owner has drained, so no execution is running.
    held_slice held;
    held.m_reason = "release";
    take_ownership(state, now, content, owned, held, output);
    return true;
}

void handle_fence_promise(node_state& state, time_point now, const message_received& received,
                          const fence_promise& promise, effects& output)
{
    auto& own = state.m_ownership;
    own.m_promises[promise.m_member][received.m_from] = promise.m_plan_version;
    const auto history = own.m_plan_history.find(promise.m_member);
    const bool known =
        history != own.m_plan_history.end() && history->second.count(promise.m_plan_version) != 0;
    if (received.m_from != self(state)) {
        if (!known)
            pull_directory(state, now, received.m_from, received.m_reply_to, output);
        output.push_back(
            send_message{received.m_from, received.m_reply_to, fence_ack{promise.m_member}});
    }
    // Slices that the fenced plan does not list are adopted by the next balance step.
    if (fenced_plan(state, promise.m_member) != nullptr)
        own.m_next_balance = std::min(own.m_next_balance, now);
    step_takeover(state, now, output);
}

void step_takeover(node_state& state, time_point now, effects& output)
{
    if (!holds_lease(state, now))
        return;
    for (const auto& [member, promises] : state.m_ownership.m_promises) {
        if (member == self(state))
            continue;
        if (const auto* fenced = fenced_plan(state, member))
            take_over(state, now, *fenced, output);
    }
}

} // namespace azureladder::core
