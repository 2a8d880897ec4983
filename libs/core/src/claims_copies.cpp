#include "claims_internal.hpp"

#include <azureladder/core/ownership.hpp>

#include <algorithm>

/// Copies of claims at standbys: sending, acknowledgements and baselines. A baseline is the message
/// that a standby has received all claims of a slice.
namespace azureladder::core {

namespace {

using copy_id = std::pair<slice_id, std::string>;

claim make_copy(const stored_claim& stored, time_point now)
{
    auto copy = stored.m_claim;
    copy.m_age = now - stored.m_created;
    return copy;
}

/// Sends the current state of the claim, so that a resent copy never carries an older state.
void send_copy(claims_context& context, const copy_id& id, pending_copy& pending)
{
    pending.m_next_send = context.m_now + pending.m_interval;
    pending.m_interval = std::min(pending.m_interval * 2, max_copy_interval);
    const auto* target = find_plan(context.m_state.m_directory, pending.m_to);
    if (target == nullptr)
        return;
    claim_copy message;
    message.m_sequence = pending.m_sequence;
    message.m_withdrawn = pending.m_withdrawn;
    message.m_claim.m_slice = id.first;
    message.m_claim.m_key = id.second;
    const auto& claims = context.m_state.m_claims.m_tables[id.first].m_claims;
    const auto stored = claims.find(id.second);
    if (!pending.m_withdrawn && stored != claims.end())
        message.m_claim = make_copy(stored->second, context.m_now);
    if (id.second.empty()) {
        if (auto marker = incomplete_marker(context.m_state, id.first, context.m_now))
            message.m_claim = *marker;
    }
    context.m_output.emplace_back(send_message{pending.m_to, target->m_peer_address, message});
}

pending_copy& register_copy(claims_context& context, const copy_id& id, const member_id& to,
                            bool withdrawn)
{
    auto& claims = context.m_state.m_claims;
    const auto [found, is_new] = claims.m_copies.try_emplace(id);
    auto& pending = found->second;
    const auto first = is_new ? claims.m_last_sequence + 1 : pending.m_first_sequence;
    pending = {};
    pending.m_sequence = ++claims.m_last_sequence;
    pending.m_first_sequence = first;
    pending.m_to = to;
    pending.m_withdrawn = withdrawn;
    pending.m_started = context.m_now;
    pending.m_next_send = context.m_now;
    pending.m_interval = context.m_state.m_options.m_resend_interval;
    return pending;
}

/// Whether a request waits for the copy, but must not wait any longer: the standby did not
/// acknowledge the copy in time, or this node no longer serves the slice.
bool acknowledgement_failed(const claims_context& context, const slice_id& slice,
                            const pending_copy& pending)
{
    return pending.m_blocks_request &&
           (context.m_now - pending.m_started >= copy_acknowledgement_timeout ||
            !serving_epoch(context.m_state, slice, context.m_now));
}

/// Refuses the claim of a request whose copy was not acknowledged, and withdraws the claim.
void refuse_unacknowledged_claim(claims_context& context, const copy_id& id)
{
    const bool serving = serving_epoch(context.m_state, id.first, context.m_now).has_value();
    auto& claims = context.m_state.m_claims;
    const auto pending = claims.m_copies.at(id);
    auto& table = claims.m_tables[id.first].m_claims;
    const auto stored = table.find(id.second);
    if (stored != table.end()) {
        send_claim_reply(context, stored->second, pending.m_reply_to,
                         serving ? claim_verdict::refused : claim_verdict::not_serving);
        table.erase(stored);
    }
    context.m_output.emplace_back(
        write_log{log_level::info,
                  "claim_refused",
                  {{"reason", serving ? "the standby did not acknowledge the copy"
                                      : "the slice is no longer served"}}});
    claims.m_copies.erase(id);
    copy_claim(context, id.first, id.second, true);
}

/// Sets the target of a pending copy to the current standby; returns false when there is none.
bool update_copy_target(claims_context& context, const copy_id& id, pending_copy& pending)
{
    const auto* standby = successor_of(context.m_state, id.first);
    if (standby == nullptr)
        return false;
    if (pending.m_to != *standby) {
        pending.m_to = *standby;
        pending.m_interval = context.m_state.m_options.m_resend_interval;
    }
    return true;
}

epoch_number epoch_of(const node_state& state, const slice_id& slice, time_point now)
{
    if (const auto epoch = serving_epoch(state, slice, now))
        return *epoch;
    const auto location = find_location(state.m_directory, slice);
    return location && location->m_owner == self(state) ? location->m_epoch : 0;
}

bool has_pending_copies(const claims_state& claims, const slice_id& slice,
                        std::uint64_t required_sequence)
{
    for (auto found = claims.m_copies.lower_bound({slice, ""});
         found != claims.m_copies.end() && found->first.first == slice; ++found) {
        if (found->second.m_first_sequence <= required_sequence)
            return true;
    }
    return false;
}

} // namespace

const member_id* successor_of(const node_state& state, const slice_id& slice)
{
    const auto* plan = find_plan(state.m_directory, self(state));
    return plan == nullptr ? nullptr : successor_of(*plan, slice);
}

void copy_claim(claims_context& context, const slice_id& slice, const std::string& key,
                bool withdrawn)
{
    const auto* standby = successor_of(context.m_state, slice);
    if (standby == nullptr)
        return;
    const copy_id id{slice, key};
    send_copy(context, id, register_copy(context, id, *standby, withdrawn));
}

void handle_copy(claims_context& context, const message_received& input, const claim_copy& copy)
{
    const auto& slice = copy.m_claim.m_slice;
    const auto location = find_location(context.m_state.m_directory, slice);
    // The owner of the slice does not acknowledge copies from a former owner, whose requests must
    // not proceed.
    if (serving_epoch(context.m_state, slice, context.m_now) ||
        (location && location->m_owner == self(context.m_state)))
        return;
    if (copy.m_withdrawn)
        context.m_state.m_claims.m_tables[slice].m_claims.erase(copy.m_claim.m_key);
    else
        import_claim(context.m_state, copy.m_claim, context.m_now);
    context.m_output.emplace_back(
        send_message{input.m_from, input.m_reply_to, claim_copy_ack{copy.m_sequence}});
}

void handle_copy_ack(claims_context& context, const member_id& from, const claim_copy_ack& ack)
{
    auto& claims = context.m_state.m_claims;
    const auto matches = [&](const auto& entry) {
        return entry.second.m_sequence == ack.m_sequence && entry.second.m_to == from;
    };
    const auto found = std::find_if(claims.m_copies.begin(), claims.m_copies.end(), matches);
    if (found == claims.m_copies.end())
        return;
    const auto [slice, key] = found->first;
    const auto pending = found->second;
    if (pending.m_blocks_request && !serving_epoch(context.m_state, slice, context.m_now))
        return;
    claims.m_copies.erase(found);
    if (!pending.m_blocks_request)
        return;
    auto& table = claims.m_tables[slice].m_claims;
    const auto stored = table.find(key);
    if (stored != table.end())
        send_claim_reply(context, stored->second, pending.m_reply_to, claim_verdict::proceed);
}

void handle_baseline(claims_context& context, const member_id& from, const claim_baseline& baseline)
{
    context.m_state.m_claims.m_received_baselines[baseline.m_slice.m_slice] = {
        from, baseline.m_slice.m_epoch};
}

void resend_copies(claims_context& context)
{
    auto& copies = context.m_state.m_claims.m_copies;
    std::vector<copy_id> due;
    for (const auto& [id, pending] : copies) {
        if (acknowledgement_failed(context, id.first, pending) ||
            context.m_now >= pending.m_next_send)
            due.push_back(id);
        if (due.size() >= max_copies_per_tick)
            break;
    }
    for (const auto& id : due) {
        auto& pending = copies.at(id);
        if (acknowledgement_failed(context, id.first, pending))
            refuse_unacknowledged_claim(context, id);
        else if (update_copy_target(context, id, pending))
            send_copy(context, id, pending);
        else if (!pending.m_blocks_request)
            copies.erase(id);
    }
}

void send_baselines(claims_context& context)
{
    auto& claims = context.m_state.m_claims;
    for (auto found = claims.m_baselines.begin(); found != claims.m_baselines.end();) {
        auto& [slice, pending] = *found;
        const auto* standby = successor_of(context.m_state, slice);
        const bool current = standby != nullptr && *standby == pending.m_to &&
                             epoch_of(context.m_state, slice, context.m_now) == pending.m_epoch;
        if (!current) {
            found = claims.m_baselines.erase(found);
            continue;
        }
        const auto* target = find_plan(context.m_state.m_directory, pending.m_to);
        if (target != nullptr && context.m_now >= pending.m_next_send &&
            !has_pending_copies(claims, slice, pending.m_required_sequence)) {
            // Baselines are not acknowledged, so they are resent at increasing intervals in case a
            // frame was lost with its connection.
            pending.m_next_send = context.m_now + pending.m_interval;
            pending.m_interval = std::min(2 * pending.m_interval, max_baseline_interval);
            context.m_output.emplace_back(send_message{pending.m_to, target->m_peer_address,
                                                       claim_baseline{{slice, pending.m_epoch}}});
        }
        ++found;
    }
}

void copy_claims_to_standbys(node_state& state, time_point now, const std::vector<slice_id>& slices,
                             effects& output)
{
    claims_context context{state, now, output};
    for (const auto& slice : slices) {
        const auto* standby = successor_of(state, slice);
        if (standby == nullptr)
            continue;
        for (const auto& [key, stored] : state.m_claims.m_tables[slice].m_claims) {
            const auto pending = state.m_claims.m_copies.find({slice, key});
            // A copy that a request waits for stays registered; it is resent to the new standby.
            if (pending != state.m_claims.m_copies.end() && pending->second.m_blocks_request) {
                pending->second.m_to = *standby;
                pending->second.m_next_send = now;
                continue;
            }
            register_copy(context, {slice, key}, *standby, false);
        }
        if (incomplete_marker(state, slice, now))
            register_copy(context, {slice, ""}, *standby, false);
        state.m_claims.m_baselines[slice] = {*standby, epoch_of(state, slice, now),
                                             state.m_claims.m_last_sequence, now,
                                             initial_baseline_interval};
    }
}

void drop_stale_baselines(claims_context& context)
{
    auto& received = context.m_state.m_claims.m_received_baselines;
    for (auto found = received.begin(); found != received.end();) {
        const auto& [slice, source] = *found;
        const auto* plan = find_plan(context.m_state.m_directory, source.first);
        // A node that was replaced as standby does not receive the claims made afterwards.
        const auto* standby = plan == nullptr ? nullptr : successor_of(*plan, slice);
        const bool replaced =
            plan != nullptr && (standby == nullptr || *standby != self(context.m_state));
        found = replaced ? received.erase(found) : std::next(found);
    }
}

void send_claim_reply(claims_context& context, const stored_claim& stored, const endpoint& reply_to,
                      claim_verdict verdict)
{
    claim_reply reply;
    reply.m_token = stored.m_token;
    reply.m_verdict = verdict;
    if (stored.m_holder == self(context.m_state))
        context.m_state.m_claims.m_local_replies.push_back({stored.m_token, reply});
    else
        context.m_output.emplace_back(send_message{stored.m_holder, reply_to, reply});
}

} // namespace azureladder::core
