#include "rules.hpp"

#include <unordered_map>

namespace azureladder::audit {

namespace {

using calls_by_id = std::unordered_map<std::string, const event*>;

calls_by_id find_calls(const history& events)
{
    calls_by_id calls;
    for (const auto& line : events.m_events) {
        if (line.m_kind == event_kind::call_started)
            calls.emplace(line.m_request_id, &line);
    }
    return calls;
}

bool is_success(const event& response)
{
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    return response.m_status >= first_success && response.m_status < first_redirect;
}

/// Whether a response that echoes the request id `echoed` may be the stored response of an earlier
/// request with the same service and idempotency key.
bool is_stored_response(const calls_by_id& calls, const event& call, const std::string& echoed)
{
    const auto original = calls.find(echoed);
    return original != calls.end() && !call.m_idempotency_key.empty() &&
           original->second->m_service == call.m_service &&
           original->second->m_idempotency_key == call.m_idempotency_key;
}

void check_refusal(const rule_input& input, const event& response, violation_collector& violations)
{
    if (response.m_executed != executed::no)
        return;
    if (const auto* start = input.m_index.by_request(response.m_request_id)) {
        violations.add(rule::truthful_refusal,
                       "request " + response.m_request_id +
                           " was reported as not executed, but server " + start->m_server +
                           " executed it",
                       {start, &response});
    }
}

void check_success(const rule_input& input, const event& call, const event& response,
                   violation_collector& violations)
{
    if (!is_success(response) || input.m_executions.empty())
        return;
    const bool has_execution =
        input.m_index.by_request(response.m_request_id) != nullptr ||
        input.m_index.by_idempotency_key({call.m_service, call.m_idempotency_key}) != nullptr;
    if (!has_execution) {
        violations.add(rule::truthful_success,
                       "request " + response.m_request_id +
                           " received a successful response, but no server executed it",
                       {&call, &response});
    }
}

void check_response_identity(const calls_by_id& calls, const event& call, const event& response,
                             violation_collector& violations)
{
    if (is_success(response) && !response.m_is_complete) {
        violations.add(rule::right_answer,
                       "request " + response.m_request_id +
                           " received an incomplete response with a success status",
                       {&call, &response});
        return;
    }
    if (!is_success(response) && response.m_echoed_request_id.empty())
        return;
    if (response.m_echoed_request_id != response.m_request_id &&
        !is_stored_response(calls, call, response.m_echoed_request_id)) {
        violations.add(rule::right_answer,
                       "request " + response.m_request_id + " received the response of request \"" +
                           response.m_echoed_request_id + "\"",
                       {&call, &response});
    } else if (is_success(response) && response.m_echoed_key != call.m_key) {
        violations.add(rule::right_answer,
                       "request " + response.m_request_id + " for key \"" + call.m_key +
                           "\" received the response for key \"" + response.m_echoed_key + "\"",
                       {&call, &response});
    }
}

} // namespace

void check_responses(const rule_input& input, violation_collector& violations)
{
    const auto calls = find_calls(input.m_history);
    for (const auto& line : input.m_history.m_events) {
        if (line.m_kind != event_kind::call_finished)
            continue;
        check_refusal(input, line, violations);
        const auto call = calls.find(line.m_request_id);
        if (call == calls.end())
            continue;
        check_success(input, *call->second, line, violations);
        check_response_identity(calls, *call->second, line, violations);
    }
}

void check_router_refusals(const rule_input& input, violation_collector& violations)
{
    for (const auto& line : input.m_history.m_events) {
        // The owner logs the outcome of one attempt, the entry node that of the caller's request.
        if (line.m_kind == event_kind::request_finished &&
            (line.m_role.empty() || line.m_role == "entry"))
            check_refusal(input, line, violations);
    }
}

} // namespace azureladder::audit
