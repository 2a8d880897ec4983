#include "routing_internal.hpp"

#include <azureladder/core/ownership.hpp>

#include <algorithm>

/// Results of attempts, retries and hedges.
namespace azureladder::core {

namespace {

/// Classification of the end of an attempt.
struct attempt_result
{
    bool m_answered = false;

    /// Whether it is proven that this attempt was not executed.
    bool m_not_executed = false;
    error_code m_code = error_code::peer_lost;
};

attempt_result classify_attempt(const open_attempt& attempt, const attempt_finished& input)
{
    if (input.m_peer_error)
        return {false, input.m_executed == executed::no, *input.m_peer_error};
    switch (input.m_outcome) {
    case attempt_outcome::answered:
        return {true, false, error_code::peer_lost};
    case attempt_outcome::refused:
        return {false, true, error_code::refused_by_backend};
    case attempt_outcome::not_sent:
        return {false, true,
                attempt.m_is_local ? error_code::connect_failed : error_code::peer_unreachable};
    case attempt_outcome::lease_ended:
        return {false, true, error_code::not_serving};
    case attempt_outcome::lost:
        break;
    }
    return {false, false, attempt.m_is_local ? error_code::backend_lost : error_code::peer_lost};
}

/// Whether the error means that the node is unreachable or does not serve the request.
bool is_unavailable(error_code code)
{
    switch (code) {
    case error_code::no_owner:
    case error_code::not_serving:
    case error_code::zone_out:
    case error_code::stopping:
    case error_code::no_upstream:
    case error_code::unknown_service:
    case error_code::peer_unreachable:
        return true;
    default:
        return false;
    }
}

void record_remote_outcome(routing_context& context, const open_attempt& attempt,
                           const attempt_finished& input, const attempt_result& result)
{
    auto& service = stats_of(context.m_state, attempt.m_service);
    auto& upstream = service.m_upstreams[attempt.m_to];
    if (upstream.m_in_flight > 0)
        --upstream.m_in_flight;
    if (input.m_reported_load >= 0.0)
        upstream.m_reported_load = input.m_reported_load;
    if (result.m_answered && !attempt.m_cancelled)
        record_reply(service, upstream, context.m_now - attempt.m_started);
    else if (is_unavailable(result.m_code) || result.m_code == error_code::connect_failed)
        mark_unavailable(upstream, context.m_now);
    else if (result.m_code == error_code::overloaded ||
             result.m_code == error_code::refused_by_backend)
        record_upstream_refusal(upstream);
}

void record_outcome(routing_context& context, const open_attempt& attempt,
                    const attempt_finished& input, const attempt_result& result)
{
    if (!attempt.m_is_local) {
        record_remote_outcome(context, attempt, input, result);
        return;
    }
    record_local_outcome(context, attempt, input);
    if (!result.m_answered || attempt.m_cancelled)
        return;
    auto& service = stats_of(context.m_state, attempt.m_service);
    auto& upstream = service.m_upstreams[attempt.m_to];
    if (input.m_reported_load >= 0.0)
        upstream.m_reported_load = input.m_reported_load;
    record_reply(service, upstream, context.m_now - attempt.m_started);
}

bool take_retry(routing_context& context, const open_request& request)
{
    return request.m_retries < max_retries &&
           try_take_attempt(stats_of(context.m_state, request.m_info.m_service).m_retries,
                            context.m_now, context.m_state.m_options.m_retry_budget_permille);
}

void log_decision(routing_context& context, const open_request& request, const char* event,
                  error_code code)
{
    write_event(context, log_level::debug, event,
                {{"request_id", request.m_info.m_request_id},
                 {"attempt", request.m_last_attempt},
                 {"reason", std::string(to_string(code))}});
}

/// Retries a failed request of a service divided by key when the owner changes or after a delay.
void retry_divided(routing_context& context, request_token token, error_code code,
                   bool not_executed)
{
    auto& request = *find_request(context.m_state, token);
    if (not_executed && is_unavailable(code)) {
        log_decision(context, request, "request_redirected", code);
        wait_for_owner(context, token, code);
        return;
    }
    // Another attempt would reach the same owner, so a full queue is reported to the caller.
    if (code == error_code::overloaded || code == error_code::deadline_in_queue ||
        !take_retry(context, request)) {
        answer_error(context, token, code,
                     "the request to the owner of the key failed, and no retry is allowed");
        return;
    }
    ++request.m_retries;
    log_decision(context, request, "request_retried", code);
    wait_for_owner(context, token, code);
}

void retry_spread(routing_context& context, request_token token, error_code code)
{
    auto& request = *find_request(context.m_state, token);
    // A request that only waited in the queue has made no attempt, so moving it to another node
    // takes nothing from the retry budget.
    const bool moved =
        request.m_last_attempt == 0 && is_unavailable(code) && request.m_retries < max_retries;
    if (!moved && !take_retry(context, request)) {
        log_decision(context, request, "retry_denied", code);
        answer_error(context, token, code, "the request failed, and no retry is allowed");
        return;
    }
    ++request.m_retries;
    log_decision(context, request, "request_retried", code);
    route_request(context, token);
}

/// Withdraws the claim of a request whose slice this node may no longer serve, before the request
/// goes to another owner.
void withdraw_divided_claim(routing_context& context, request_token token)
{
    auto& request = *find_request(context.m_state, token);
    if (!is_divided(request) || !request.m_claim.m_held)
        return;
    complete_claim(context, token, request, executed::no, nullptr);
    context.m_state.m_routing.m_claim_keys.erase(request.m_claim.m_key);
    request.m_claim = {};
}

} // namespace

bool may_retry(const open_request& request, bool not_executed)
{
    return not_executed || request.m_info.m_idempotent;
}

std::size_t open_attempt_count(const node_state& state, request_token token)
{
    std::size_t count = 0;
    const auto& attempts = state.m_routing.m_attempts;
    for (auto found = attempts.lower_bound({token, 0});
         found != attempts.end() && found->first.first == token; ++found)
        count += found->second.m_detached ? 0 : 1;
    return count;
}

void handle_attempt_finished(routing_context& context, const attempt_finished& input)
{
    auto& attempts = context.m_state.m_routing.m_attempts;
    const auto found = attempts.find({input.m_token, input.m_attempt});
    if (found == attempts.end()) {
        write_event(context, log_level::debug, "attempt_unknown",
                    {{"attempt", input.m_attempt},
                     {"reason", "the attempt is not open: late or duplicate report"}});
        return;
    }
    const auto attempt = found->second;
    attempts.erase(found);
    const auto result = classify_attempt(attempt, input);
    record_outcome(context, attempt, input, result);
    if (attempt.m_detached || find_request(context.m_state, input.m_token) == nullptr)
        return;
    if (result.m_answered)
        answer_reply(context, input);
    else
        handle_attempt_failure(context, input.m_token, result.m_code, result.m_not_executed);
}

void handle_attempt_failure(routing_context& context, request_token token, error_code code,
                            bool not_executed)
{
    auto& request = *find_request(context.m_state, token);
    if (not_executed) {
        request.m_last_error = code;
        log_decision(context, request, "attempt_refused", code);
    } else {
        request.m_may_have_executed = true;
        request.m_lost_error =
            executed_for(code) == executed::unknown ? code : error_code::peer_lost;
        log_decision(context, request, "attempt_lost", code);
    }
    // The other attempt of a hedged request may still get a reply.
    if (open_attempt_count(context.m_state, token) > 0) {
        schedule_timer(context, token);
        return;
    }
    const bool is_claim_error =
        code == error_code::claim_in_progress || code == error_code::claim_unknown;
    if (!request.m_is_entry || request.m_abandoned || is_claim_error ||
        !may_retry(request, not_executed) || context.m_now >= request.m_deadline) {
        answer_error(context, token, code, "the attempt failed, and the request cannot be retried");
        return;
    }
    if (not_executed)
        withdraw_divided_claim(context, token);
    if (is_divided(request))
        retry_divided(context, token, code, not_executed);
    else
        retry_spread(context, token, code);
}

void hedge_request(routing_context& context, request_token token)
{
    auto& state = context.m_state;
    auto& request = *find_request(state, token);
    request.m_hedge_at = time_point::max();
    if (request.m_hedged || request.m_abandoned || open_attempt_count(state, token) != 1)
        return;
    const auto* target = choose_upstream(context, request, false);
    if (target == nullptr)
        return;
    const auto& limit = state.m_routing.m_limit;
    const bool is_local = target->m_member == self(state);
    // A hedge must not wait in the queue or delay other requests.
    if (is_local &&
        (queue_length(state.m_routing.m_queue) > 0 || limit.m_in_flight >= current_limit(limit)))
        return;
    if (!try_take_attempt(stats_of(state, request.m_info.m_service).m_hedges, context.m_now,
                          state.m_options.m_hedge_budget_permille))
        return;
    request.m_hedged = true;
    write_event(context, log_level::debug, "request_hedged",
                {{"request_id", request.m_info.m_request_id},
                 {"to", target->m_member.m_node},
                 {"reason", "no reply within the hedge delay"}});
    if (!is_local) {
        forward_attempt(context, token, *target, true);
        return;
    }
    request.m_attempted_nodes.push_back(target->m_member.m_node);
    dispatch_locally(context, token, true);
}

} // namespace azureladder::core
