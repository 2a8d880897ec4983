#include <azureladder/core/claims.hpp>

#include "claims_internal.hpp"

#include <azureladder/base/hash.hpp>
#include <azureladder/core/ownership.hpp>

namespace azureladder::core {

namespace {

claim_reply make_reply(const stored_claim& stored)
{
    claim_reply reply;
    reply.m_verdict = claim_verdict::unknown;
    if (stored.m_claim.m_state == claim_state::in_progress)
        reply.m_verdict = claim_verdict::in_progress;
    if (stored.m_claim.m_state != claim_state::executed || !stored.m_claim.m_has_reply)
        return reply;
    reply.m_verdict = claim_verdict::replay;
    reply.m_status = stored.m_claim.m_status;
    reply.m_content_type = stored.m_claim.m_content_type;
    reply.m_body = stored.m_claim.m_body;
    return reply;
}

claim_reply make_reply(claim_verdict verdict)
{
    claim_reply reply;
    reply.m_verdict = verdict;
    return reply;
}

/// Reply for a key that is already claimed; unset while the copy to the standby is unacknowledged.
/// The holder itself requests the claim again when a reply was lost.
std::optional<claim_reply> reply_to_repeated_claim(const claims_state& claims,
                                                   const slice_id& slice, const std::string& key,
                                                   const stored_claim& stored,
                                                   const claim_holder& holder)
{
    const bool same = stored.m_holder == holder.m_member && stored.m_token == holder.m_token;
    if (!same || stored.m_claim.m_state != claim_state::in_progress)
        return make_reply(stored);
    const auto copy = claims.m_copies.find({slice, key});
    if (copy != claims.m_copies.end() && copy->second.m_blocks_request)
        return std::nullopt;
    return make_reply(claim_verdict::proceed);
}

stored_claim& store_claim(claims_context& context, claim_table& table, const slice_id& slice,
                          const std::string& key, const claim_holder& holder)
{
    auto& stored = table.m_claims[key];
    stored.m_claim.m_slice = slice;
    stored.m_claim.m_key = key;
    stored.m_created = context.m_now;
    stored.m_holder = holder.m_member;
    stored.m_token = holder.m_token;
    return stored;
}

void handle_request(claims_context& context, const message_received& input,
                    const claim_request& request)
{
    // Only the owner of the slice may reply. The entry node resends the request to the owner that
    // its directory lists by then.
    if (!serving_epoch(context.m_state, request.m_slice, context.m_now))
        return;
    const claim_holder holder{input.m_from, request.m_token, input.m_reply_to};
    auto reply = begin_claim(context, request.m_slice, request.m_key, holder);
    if (!reply)
        return;
    reply->m_token = request.m_token;
    context.m_output.emplace_back(send_message{input.m_from, input.m_reply_to, *reply});
}

/// Passes an event to the functions of the module that handle it.
class event_handler
{
public:
    explicit event_handler(claims_context& context) : m_context(context) {}

    void operator()(const timer_tick&)
    {
        resend_copies(m_context);
        resend_results(m_context);
        send_baselines(m_context);
        if (m_context.m_now < m_context.m_state.m_claims.m_next_expiry)
            return;
        m_context.m_state.m_claims.m_next_expiry = m_context.m_now + claim_expiry_interval;
        expire_claims(m_context);
        drop_stale_baselines(m_context);
    }

    void operator()(const message_received& input)
    {
        const auto& message = input.m_message;
        if (const auto* request = std::get_if<claim_request>(&message))
            handle_request(m_context, input, *request);
        else if (const auto* result = std::get_if<claim_result>(&message))
            handle_result(m_context, input, *result);
        else if (const auto* result_ack = std::get_if<claim_result_ack>(&message))
            m_context.m_state.m_claims.m_results.erase(result_ack->m_token);
        else if (const auto* copy = std::get_if<claim_copy>(&message))
            handle_copy(m_context, input, *copy);
        else if (const auto* ack = std::get_if<claim_copy_ack>(&message))
            handle_copy_ack(m_context, input.m_from, *ack);
        else if (const auto* baseline = std::get_if<claim_baseline>(&message))
            handle_baseline(m_context, input.m_from, *baseline);
        else if (std::holds_alternative<directory_push>(message))
            drop_stale_baselines(m_context);
    }

    template <class Event>
    void operator()(const Event&)
    {
    }

private:
    claims_context& m_context;
};

} // namespace

void step_claims(node_state& state, time_point now, const event& input, effects& output)
{
    claims_context context{state, now, output};
    std::visit(event_handler(context), input);
}

std::optional<claim_reply> begin_claim(claims_context& context, const slice_id& slice,
                                       const std::string& key, const claim_holder& holder)
{
    auto& claims = context.m_state.m_claims;
    auto& table = claims.m_tables[slice];
    const auto found = table.m_claims.find(key);
    if (found != table.m_claims.end())
        return reply_to_repeated_claim(claims, slice, key, found->second, holder);
    if (context.m_now < table.m_incomplete_until)
        return make_reply(claim_verdict::unknown);
    const auto* plan = find_plan(context.m_state.m_directory, self(context.m_state));
    if (plan == nullptr || table.m_claims.size() >= context.m_state.m_options.m_claims_per_slice)
        return make_reply(claim_verdict::refused);
    store_claim(context, table, slice, key, holder);
    if (successor_of(*plan, slice) == nullptr)
        return make_reply(claim_verdict::proceed);
    copy_claim(context, slice, key, false);
    auto& copy = claims.m_copies[{slice, key}];
    copy.m_blocks_request = true;
    copy.m_reply_to = holder.m_reply_to;
    return std::nullopt;
}

void finish_claim(claims_context& context, const member_id& member, const claim_result& result)
{
    const auto& slice = result.m_claim.m_slice;
    const auto& key = result.m_claim.m_key;
    auto& table = context.m_state.m_claims.m_tables[slice];
    const auto found = table.m_claims.find(key);
    if (found == table.m_claims.end())
        return;
    auto& stored = found->second;
    const bool is_holder = stored.m_holder == member;
    if (result.m_executed == executed::no) {
        // A resent outcome may arrive after another request has claimed the key. It must not
        // withdraw that claim, nor one received from a former owner.
        if (!is_holder || stored.m_token != result.m_token ||
            stored.m_claim.m_state == claim_state::executed)
            return;
        table.m_claims.erase(found);
        copy_claim(context, slice, key, true);
        return;
    }
    // A claim received from a former owner has no holder, so an outcome from any node is accepted:
    // only a request that was allowed to proceed has one.
    if ((!is_holder && !stored.m_holder.m_node.empty()) ||
        stored.m_claim.m_state == claim_state::executed)
        return;
    const bool is_executed = result.m_executed == executed::yes;
    stored.m_claim.m_state = is_executed ? claim_state::executed : claim_state::unknown;
    const auto limit = context.m_state.m_options.m_max_claim_body_bytes;
    if (is_executed && result.m_claim.m_has_reply && result.m_claim.m_body.size() <= limit) {
        stored.m_claim.m_has_reply = true;
        stored.m_claim.m_status = result.m_claim.m_status;
        stored.m_claim.m_content_type = result.m_claim.m_content_type;
        stored.m_claim.m_body = result.m_claim.m_body;
    }
    copy_claim(context, slice, key, false);
}

slice_id claim_slice(const node_state&, const std::string& service,
                     const std::string& idempotency_key)
{
    return {claim_space, slice_of_key(service + "/" + idempotency_key, claim_slice_count)};
}

} // namespace azureladder::core
