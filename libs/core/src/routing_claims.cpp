#include "claims_internal.hpp"
#include "routing_internal.hpp"

#include <azureladder/core/ownership.hpp>

/// Claims of the open requests of this node.
namespace azureladder::core {

namespace {

claim_result make_result(request_token token, const open_request& request, executed outcome,
                         const attempt_finished* reply)
{
    claim_result result;
    result.m_token = token;
    result.m_executed = outcome;
    result.m_claim.m_slice = request.m_claim.m_slice;
    result.m_claim.m_key = request.m_claim.m_key;
    result.m_claim.m_state =
        outcome == executed::yes ? claim_state::executed : claim_state::unknown;
    if (outcome == executed::yes && reply != nullptr && reply->m_has_reply) {
        result.m_claim.m_has_reply = true;
        result.m_claim.m_status = reply->m_status;
        result.m_claim.m_content_type = reply->m_content_type;
        result.m_claim.m_body = reply->m_body;
    }
    return result;
}

/// Plan of the owner of a slice; null when this node is the owner or the owner is not in the
/// directory.
const plan* remote_owner(const node_state& state, const slice_id& slice)
{
    const auto location = find_location(state.m_directory, slice);
    if (!location || location->m_owner == self(state))
        return nullptr;
    return find_plan(state.m_directory, location->m_owner);
}

void claim_locally(routing_context& context, request_token token)
{
    auto& request = *find_request(context.m_state, token);
    claims_context claims{context.m_state, context.m_now, context.m_output};
    request.m_claim.m_requested = true;
    const claim_holder holder{self(context.m_state), token, {}};
    const auto reply = begin_claim(claims, request.m_claim.m_slice, request.m_claim.m_key, holder);
    if (reply)
        handle_claim_reply(context, token, *reply);
    else
        schedule_timer(context, token);
}

/// Schedules another request for the claim; returns false when the request must not wait any
/// longer.
bool schedule_claim_retry(routing_context& context, request_token token)
{
    auto& request = *find_request(context.m_state, token);
    auto& claim = request.m_claim;
    if (claim.m_wait_until == time_point{})
        claim.m_wait_until = context.m_now + max_claim_wait;
    if (request.m_abandoned || context.m_now + claim_retry_delay > claim.m_wait_until)
        return false;
    claim.m_resend_at = context.m_now + claim_retry_delay;
    schedule_timer(context, token);
    return true;
}

void handle_claim_refusal(routing_context& context, request_token token, claim_verdict verdict)
{
    auto& request = *find_request(context.m_state, token);
    if (is_divided(request) && !serving_epoch(context.m_state, request.m_slice, context.m_now))
        handle_attempt_failure(context, token, error_code::no_owner, true);
    else if (verdict != claim_verdict::not_serving || !schedule_claim_retry(context, token))
        answer_error(context, token, error_code::claim_refused,
                     "the owner of the idempotency key could not store it");
}

} // namespace

bool needs_claim(const node_state&, const open_request& request)
{
    return !request.m_info.m_idempotent && !request.m_info.m_idempotency_key.empty() &&
           !request.m_info.m_claimed && !request.m_claim.m_held;
}

void start_claim(routing_context& context, request_token token, const slice_id& slice)
{
    auto& request = *find_request(context.m_state, token);
    request.m_claim.m_slice = slice;
    request.m_claim.m_key = request.m_info.m_service + "/" + request.m_info.m_idempotency_key;
    const auto [found, is_new] =
        context.m_state.m_routing.m_claim_keys.try_emplace(request.m_claim.m_key, token);
    if (!is_new && found->second != token) {
        answer_error(context, token, error_code::claim_in_progress,
                     "a request with this idempotency key is in progress");
        return;
    }
    if (context.m_state.m_routing.m_claim_keys.size() > max_waiting_requests) {
        answer_error(context, token, error_code::claim_refused,
                     "too many requests with idempotency keys are open");
        return;
    }
    request.m_phase = request_phase::claiming;
    send_claim_request(context, token);
}

void send_claim_request(routing_context& context, request_token token)
{
    auto& state = context.m_state;
    auto& request = *find_request(state, token);
    request.m_claim.m_resend_at = context.m_now + state.m_options.m_resend_interval;
    if (serving_epoch(state, request.m_claim.m_slice, context.m_now)) {
        claim_locally(context, token);
        return;
    }
    const auto* owner = remote_owner(state, request.m_claim.m_slice);
    if (owner != nullptr && !is_divided(request)) {
        request.m_claim.m_requested = true;
        context.m_output.emplace_back(
            send_message{owner->m_member, owner->m_peer_address,
                         claim_request{token, request.m_claim.m_slice, request.m_claim.m_key}});
    }
    schedule_timer(context, token);
}

void handle_claim_reply(routing_context& context, std::uint64_t token, const claim_reply& reply)
{
    auto* request = find_request(context.m_state, token);
    if (request == nullptr || request->m_phase != request_phase::claiming)
        return;
    write_event(context, log_level::debug, "claim_answered",
                {{"request_id", request->m_info.m_request_id},
                 {"reason", std::string(find_enum_name(claim_verdict_names, reply.m_verdict))}});
    request->m_claim.m_requested = false;
    request->m_claim.m_in_progress = reply.m_verdict == claim_verdict::in_progress;
    switch (reply.m_verdict) {
    case claim_verdict::proceed:
        request->m_claim.m_held = true;
        if (is_divided(*request))
            admit_locally(context, token);
        else
            route_request(context, token);
        return;
    case claim_verdict::replay:
        answer_replay(context, token, reply);
        return;
    case claim_verdict::in_progress:
        // The outcome may not have reached the owner yet, although the caller has received the
        // reply.
        if (schedule_claim_retry(context, token))
            return;
        answer_error(context, token, error_code::claim_in_progress,
                     "a request with this idempotency key is in progress");
        return;
    case claim_verdict::unknown:
        answer_error(context, token, error_code::claim_unknown,
                     "the outcome of an earlier request with this idempotency key is unknown");
        return;
    case claim_verdict::refused:
    case claim_verdict::not_serving:
        handle_claim_refusal(context, token, reply.m_verdict);
        return;
    }
}

void handle_local_claim_replies(routing_context& context)
{
    auto replies = std::move(context.m_state.m_claims.m_local_replies);
    context.m_state.m_claims.m_local_replies.clear();
    for (const auto& local : replies)
        handle_claim_reply(context, local.m_token, local.m_reply);
}

void complete_claim(routing_context& context, request_token token, const open_request& request,
                    executed outcome, const attempt_finished* reply)
{
    if (!request.m_claim.m_held && !request.m_claim.m_requested)
        return;
    const auto result = make_result(token, request, outcome, reply);
    claims_context claims{context.m_state, context.m_now, context.m_output};
    if (is_divided(request))
        finish_claim(claims, self(context.m_state), result);
    else
        report_outcome(claims, result);
}

} // namespace azureladder::core
