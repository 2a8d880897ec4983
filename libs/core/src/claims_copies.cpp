#include "claims_internal.hpp"

#include <azureladder/core/ownership.hpp>

#include <algorithm>

/// Copies of claims at standbys: sending, acknowledgements and baselines. A baseline is the message
/// that a standby has received all claims of a slice.
namespace azureladder::core {

namespace {

using copy_id = std::pair<slice_id, std::string>;

claim make_copy(const kept_claim& kept, time_point now)
{
    auto copy = kept.m_claim;
    copy.m_age = now - kept.m_created;
    return copy;
}

/// Sends the current state of the claim, so that a resent copy never carries an older state.
void send_copy(claims_step& step, const copy_id& id, pending_copy& pending)
{
    pending.m_next_send = step.m_now + pending.m_interval;
    pending.m_interval = std::min(pending.m_interval * 2, longest_copy_interval);
    const auto* target = find_plan(step.m_state.m_directory, pending.m_to);
    if (target == nullptr)
        return;
    claim_copy message;
    message.m_sequence = pending.m_sequence;
    message.m_withdrawn = pending.m_withdrawn;
    message.m_claim.m_slice = id.first;
    message.m_claim.m_key = id.second;
    const auto& claims = step.m_state.m_claims.m_tables[id.first].m_claims;
    const auto kept = claims.find(id.second);
    if (!pending.m_withdrawn && kept != claims.end())
        message.m_claim = make_copy(kept->second, step.m_now);
    if (id.second.empty()) {
        if (auto marker = lost_marker(step.m_state, id.first, step.m_now))
            message.m_claim = *marker;
    }
    step.m_output.emplace_back(send_message{pending.m_to, target->m_peer_address, message});
}

pending_copy& register_copy(claims_step& step, const copy_id& id, const member_ref& to,
                            bool withdrawn)
{
    auto& claims = step.m_state.m_claims;
    const auto [found, is_new] = claims.m_copies.try_emplace(id);
    auto& pending = found->second;
    const auto first = is_new ? claims.m_last_sequence + 1 : pending.m_first_sequence;
    pending = {};
    pending.m_sequence = ++claims.m_last_sequence;
    pending.m_first_sequence = first;
    pending.m_to = to;
    pending.m_withdrawn = withdrawn;
    pending.m_started = step.m_now;
    pending.m_next_send = step.m_now;
    pending.m_interval = step.m_state.m_options.m_resend_interval;
    return pending;
}

/// Whether a request waits for the copy, but must not wait any longer: the standby did not
/// acknowledge the copy in time, or this node no longer serves the slice.
bool gate_over(const claims_step& step, const slice_id& slice, const pending_copy& pending)
{
    return pending.m_gate && (step.m_now - pending.m_started >= copy_ack_time ||
                              !serving_epoch(step.m_state, slice, step.m_now));
}

/// Refuses the claim of a request whose copy was not acknowledged, and withdraws the claim.
void refuse_gated(claims_step& step, const copy_id& id)
{
    const bool serving = serving_epoch(step.m_state, id.first, step.m_now).has_value();
    auto& claims = step.m_state.m_claims;
    const auto pending = claims.m_copies.at(id);
    auto& table = claims.m_tables[id.first].m_claims;
    const auto kept = table.find(id.second);
    if (kept != table.end()) {
        deliver_verdict(step, kept->second, pending.m_reply_to,
                        serving ? claim_verdict::refused : claim_verdict::not_serving);
        table.erase(kept);
    }
    step.m_output.emplace_back(
        write_log{log_level::info,
                  "claim_refused",
                  {{"reason", serving ? "the standby did not acknowledge the copy"
                                      : "the slice is no longer served"}}});
    claims.m_copies.erase(id);
    copy_claim(step, id.first, id.second, true);
}

/// Sets the target of a pending copy to the current standby; returns false when there is none.
bool retarget(claims_step& step, const copy_id& id, pending_copy& pending)
{
    const auto* standby = standby_of(step.m_state, id.first);
    if (standby == nullptr)
        return false;
    if (pending.m_to != *standby) {
        pending.m_to = *standby;
        pending.m_interval = step.m_state.m_options.m_resend_interval;
    }
    return true;
}

epoch_number epoch_of(const node_state& state, const slice_id& slice, time_point now)
{
    if (const auto epoch = serving_epoch(state, slice, now))
        return *epoch;
    const auto location = locate(state.m_directory, slice);
    return location && location->m_owner == self(state) ? location->m_epoch : 0;
}

bool has_copies_before(const claims_state& claims, const slice_id& slice, std::uint64_t barrier)
{
    for (auto found = claims.m_copies.lower_bound({slice, ""});
         found != claims.m_copies.end() && found->first.first == slice; ++found) {
        if (found->second.m_first_sequence <= barrier)
            return true;
    }
    return false;
}

} // namespace

const member_ref* standby_of(const node_state& state, const slice_id& slice)
{
    const auto* plan = find_plan(state.m_directory, self(state));
    return plan == nullptr ? nullptr : standby_of(*plan, slice);
}

void copy_claim(claims_step& step, const slice_id& slice, const std::string& key, bool withdrawn)
{
    const auto* standby = standby_of(step.m_state, slice);
    if (standby == nullptr)
        return;
    const copy_id id{slice, key};
    send_copy(step, id, register_copy(step, id, *standby, withdrawn));
}

void handle_copy(claims_step& step, const message_received& input, const claim_copy& copy)
{
    const auto& slice = copy.m_claim.m_slice;
    const auto location = locate(step.m_state.m_directory, slice);
    // The owner of the slice does not acknowledge copies from a former owner, whose requests must
    // not proceed.
    if (serving_epoch(step.m_state, slice, step.m_now) ||
        (location && location->m_owner == self(step.m_state)))
        return;
    if (copy.m_withdrawn)
        step.m_state.m_claims.m_tables[slice].m_claims.erase(copy.m_claim.m_key);
    else
        import_claim(step.m_state, copy.m_claim, step.m_now);
    step.m_output.emplace_back(
        send_message{input.m_from, input.m_reply_to, claim_copy_ack{copy.m_sequence}});
}

void handle_copy_ack(claims_step& step, const member_ref& from, const claim_copy_ack& ack)
{
    auto& claims = step.m_state.m_claims;
    const auto matches = [&](const auto& entry) {
        return entry.second.m_sequence == ack.m_sequence && entry.second.m_to == from;
    };
    const auto found = std::find_if(claims.m_copies.begin(), claims.m_copies.end(), matches);
    if (found == claims.m_copies.end())
        return;
    const auto [slice, key] = found->first;
    const auto pending = found->second;
    if (pending.m_gate && !serving_epoch(step.m_state, slice, step.m_now))
        return;
    claims.m_copies.erase(found);
    if (!pending.m_gate)
        return;
    auto& table = claims.m_tables[slice].m_claims;
    const auto kept = table.find(key);
    if (kept != table.end())
        deliver_verdict(step, kept->second, pending.m_reply_to, claim_verdict::proceed);
}

void handle_baseline(claims_step& step, const member_ref& from, const claim_baseline& baseline)
{
    step.m_state.m_claims.m_received_baselines[baseline.m_slice.m_slice] = {
        from, baseline.m_slice.m_epoch};
}

void resend_copies(claims_step& step)
{
    auto& copies = step.m_state.m_claims.m_copies;
    std::vector<copy_id> due;
    for (const auto& [id, pending] : copies) {
        if (gate_over(step, id.first, pending) || step.m_now >= pending.m_next_send)
            due.push_back(id);
        if (due.size() >= copies_per_tick)
            break;
    }
    for (const auto& id : due) {
        auto& pending = copies.at(id);
        if (gate_over(step, id.first, pending))
            refuse_gated(step, id);
        else if (retarget(step, id, pending))
            send_copy(step, id, pending);
        else if (!pending.m_gate)
            copies.erase(id);
    }
}

void send_baselines(claims_step& step)
{
    auto& claims = step.m_state.m_claims;
    for (auto found = claims.m_baselines.begin(); found != claims.m_baselines.end();) {
        auto& [slice, pending] = *found;
        const auto* standby = standby_of(step.m_state, slice);
        const bool current = standby != nullptr && *standby == pending.m_to &&
                             epoch_of(step.m_state, slice, step.m_now) == pending.m_epoch;
        if (!current) {
            found = claims.m_baselines.erase(found);
            continue;
        }
        const auto* target = find_plan(step.m_state.m_directory, pending.m_to);
        if (target != nullptr && step.m_now >= pending.m_next_send &&
            !has_copies_before(claims, slice, pending.m_barrier)) {
            // Baselines are not acknowledged, so they are resent at increasing intervals in case a
            // frame was lost with its connection.
            pending.m_next_send = step.m_now + pending.m_interval;
            pending.m_interval = std::min(2 * pending.m_interval, baseline_interval_limit);
            step.m_output.emplace_back(send_message{pending.m_to, target->m_peer_address,
                                                    claim_baseline{{slice, pending.m_epoch}}});
        }
        ++found;
    }
}

void copy_claims_to_standbys(node_state& state, time_point now, const std::vector<slice_id>& slices,
                             effects& output)
{
    claims_step step{state, now, output};
    for (const auto& slice : slices) {
        const auto* standby = standby_of(state, slice);
        if (standby == nullptr)
            continue;
        for (const auto& [key, kept] : state.m_claims.m_tables[slice].m_claims) {
            const auto pending = state.m_claims.m_copies.find({slice, key});
            // A copy that a request waits for stays registered; it is resent to the new standby.
            if (pending != state.m_claims.m_copies.end() && pending->second.m_gate) {
                pending->second.m_to = *standby;
                pending->second.m_next_send = now;
                continue;
            }
            register_copy(step, {slice, key}, *standby, false);
        }
        if (lost_marker(state, slice, now))
            register_copy(step, {slice, ""}, *standby, false);
        state.m_claims.m_baselines[slice] = {*standby, epoch_of(state, slice, now),
                                             state.m_claims.m_last_sequence, now,
                                             baseline_interval};
    }
}

void drop_stale_baselines(claims_step& step)
{
    auto& received = step.m_state.m_claims.m_received_baselines;
    for (auto found = received.begin(); found != received.end();) {
        const auto& [slice, source] = *found;
        const auto* plan = find_plan(step.m_state.m_directory, source.first);
        // A node that was replaced as standby does not receive the claims made afterwards.
        const auto* standby = plan == nullptr ? nullptr : standby_of(*plan, slice);
        const bool replaced =
            plan != nullptr && (standby == nullptr || *standby != self(step.m_state));
        found = replaced ? received.erase(found) : std::next(found);
    }
}

void deliver_verdict(claims_step& step, const kept_claim& kept, const endpoint& reply_to,
                     claim_verdict verdict)
{
    claim_reply reply;
    reply.m_token = kept.m_token;
    reply.m_verdict = verdict;
    if (kept.m_holder == self(step.m_state))
        step.m_state.m_claims.m_local_verdicts.push_back({kept.m_token, reply});
    else
        step.m_output.emplace_back(send_message{kept.m_holder, reply_to, reply});
}

} // namespace azureladder::core
