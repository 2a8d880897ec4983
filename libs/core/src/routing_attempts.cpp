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
    bool m_proven = false;
    error_code m_code = error_code::peer_lost;
};

attempt_result judge(const open_attempt& attempt, const attempt_finished& input)
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
                attempt.m_local ? error_code::connect_failed : error_code::peer_unreachable};
    case attempt_outcome::lease_ended:
        return {false, true, error_code::not_serving};
    case attempt_outcome::lost:
        break;
    }
    return {false, false, attempt.m_local ? error_code::backend_lost : error_code::peer_lost};
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

void note_remote_outcome(routing_step& step, const open_attempt& attempt,
                         const attempt_finished& input, const attempt_result& result)
{
    auto& service = measure_of(step.m_state, attempt.m_service);
    auto& upstream = service.m_upstreams[attempt.m_to];
    if (upstream.m_in_flight > 0)
        --upstream.m_in_flight;
    if (input.m_reported_load >= 0.0)
        upstream.m_reported_load = input.m_reported_load;
    if (result.m_answered && !attempt.m_cancelled)
        note_reply(service, upstream, step.m_now - attempt.m_started);
    else if (is_unavailable(result.m_code) || result.m_code == error_code::connect_failed)
        note_unavailable(upstream, step.m_now);
    else if (result.m_code == error_code::overloaded ||
             result.m_code == error_code::refused_by_backend)
        note_upstream_refusal(upstream);
}

void note_outcome(routing_step& step, const open_attempt& attempt, const attempt_finished& input,
                  const attempt_result& result)
{
    if (!attempt.m_local) {
        note_remote_outcome(step, attempt, input, result);
        return;
    }
    note_local_outcome(step, attempt, input);
    if (!result.m_answered || attempt.m_cancelled)
        return;
    auto& service = measure_of(step.m_state, attempt.m_service);
    auto& upstream = service.m_upstreams[attempt.m_to];
    if (input.m_reported_load >= 0.0)
        upstream.m_reported_load = input.m_reported_load;
    note_reply(service, upstream, step.m_now - attempt.m_started);
}

bool take_retry(routing_step& step, const open_request& request)
{
    return request.m_retries < max_retries &&
           take_attempt(measure_of(step.m_state, request.m_info.m_service).m_retries, step.m_now,
                        step.m_state.m_options.m_retry_budget_permille);
}

void log_decision(routing_step& step, const open_request& request, const char* event,
                  error_code code)
{
    write_event(step, log_level::debug, event,
                {{"request_id", request.m_info.m_request_id},
                 {"attempt", request.m_last_attempt},
                 {"reason", std::string(to_string(code))}});
}

/// Retries a failed request of a service divided by key when the owner changes or after a delay.
void repeat_divided(routing_step& step, request_token token, error_code code, bool proven)
{
    auto& request = *find_request(step.m_state, token);
    if (proven && is_unavailable(code)) {
        log_decision(step, request, "request_redirected", code);
        wait_for_owner(step, token, code);
        return;
    }
    // Another attempt would reach the same owner, so a full queue is reported to the caller.
    if (code == error_code::overloaded || code == error_code::deadline_in_queue ||
        !take_retry(step, request)) {
        answer_error(step, token, code,
                     "the request to the owner of the key failed, and no retry is allowed");
        return;
    }
    ++request.m_retries;
    log_decision(step, request, "request_retried", code);
    wait_for_owner(step, token, code);
}

void repeat_spread(routing_step& step, request_token token, error_code code)
{
    auto& request = *find_request(step.m_state, token);
    // A request that only waited in the queue has made no attempt, so moving it to another node
    // takes nothing from the retry budget.
    const bool moved =
        request.m_last_attempt == 0 && is_unavailable(code) && request.m_retries < max_retries;
    if (!moved && !take_retry(step, request)) {
        log_decision(step, request, "retry_denied", code);
        answer_error(step, token, code, "the request failed, and no retry is allowed");
        return;
    }
    ++request.m_retries;
    log_decision(step, request, "request_retried", code);
    route_request(step, token);
}

/// Withdraws the claim of a request whose slice this node may no longer serve, before the request
/// goes to another owner.
void withdraw_divided_claim(routing_step& step, request_token token)
{
    auto& request = *find_request(step.m_state, token);
    if (!is_divided(request) || !request.m_claim.m_held)
        return;
    settle_claim(step, token, request, executed::no, nullptr);
    step.m_state.m_routing.m_claim_keys.erase(request.m_claim.m_key);
    request.m_claim = {};
}

} // namespace

bool may_repeat(const open_request& request, bool proven)
{
    return proven || request.m_info.m_idempotent;
}

std::size_t open_attempt_count(const node_state& state, request_token token)
{
    std::size_t count = 0;
    const auto& attempts = state.m_routing.m_attempts;
    for (auto found = attempts.lower_bound({token, 0});
         found != attempts.end() && found->first.first == token; ++found)
        count += found->second.m_settled ? 0 : 1;
    return count;
}

void handle_attempt_finished(routing_step& step, const attempt_finished& input)
{
    auto& attempts = step.m_state.m_routing.m_attempts;
    const auto found = attempts.find({input.m_token, input.m_attempt});
    if (found == attempts.end()) {
        write_event(step, log_level::debug, "attempt_unknown",
                    {{"attempt", input.m_attempt},
                     {"reason", "the attempt is not open: late or duplicate report"}});
        return;
    }
    const auto attempt = found->second;
    attempts.erase(found);
    const auto result = judge(attempt, input);
    note_outcome(step, attempt, input, result);
    if (attempt.m_settled || find_request(step.m_state, input.m_token) == nullptr)
        return;
    if (result.m_answered)
        answer_reply(step, input);
    else
        handle_attempt_failure(step, input.m_token, result.m_code, result.m_proven);
}

void handle_attempt_failure(routing_step& step, request_token token, error_code code, bool proven)
{
    auto& request = *find_request(step.m_state, token);
    if (proven) {
        request.m_last_error = code;
        log_decision(step, request, "attempt_refused", code);
    } else {
        request.m_maybe_executed = true;
        request.m_lost_code =
            executed_for(code) == executed::unknown ? code : error_code::peer_lost;
        log_decision(step, request, "attempt_lost", code);
    }
    // The other attempt of a hedged request may still get a reply.
    if (open_attempt_count(step.m_state, token) > 0) {
        arm(step, token);
        return;
    }
    const bool of_claim =
        code == error_code::claim_in_progress || code == error_code::claim_unknown;
    if (!request.m_entry || request.m_abandoned || of_claim || !may_repeat(request, proven) ||
        step.m_now >= request.m_deadline) {
        answer_error(step, token, code, "the attempt failed, and the request cannot be retried");
        return;
    }
    if (proven)
        withdraw_divided_claim(step, token);
    if (is_divided(request))
        repeat_divided(step, token, code, proven);
    else
        repeat_spread(step, token, code);
}

void hedge_request(routing_step& step, request_token token)
{
    auto& state = step.m_state;
    auto& request = *find_request(state, token);
    request.m_hedge_at = time_point::max();
    if (request.m_hedged || request.m_abandoned || open_attempt_count(state, token) != 1)
        return;
    const auto* target = choose_upstream(step, request, false);
    if (target == nullptr)
        return;
    const auto& limit = state.m_routing.m_limit;
    const bool is_local = target->m_member == self(state);
    // A hedge must not wait in the queue or delay other requests.
    if (is_local &&
        (queue_length(state.m_routing.m_queue) > 0 || limit.m_in_flight >= current_limit(limit)))
        return;
    if (!take_attempt(measure_of(state, request.m_info.m_service).m_hedges, step.m_now,
                      state.m_options.m_hedge_budget_permille))
        return;
    request.m_hedged = true;
    write_event(step, log_level::debug, "request_hedged",
                {{"request_id", request.m_info.m_request_id},
                 {"to", target->m_member.m_node},
                 {"reason", "no reply within the hedge delay"}});
    if (!is_local) {
        forward_attempt(step, token, *target, true);
        return;
    }
    request.m_tried.push_back(target->m_member.m_node);
    dispatch_now(step, token, true);
}

} // namespace azureladder::core
