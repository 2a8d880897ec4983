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

bool is_success(const event& answer)
{
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    return answer.m_status >= first_success && answer.m_status < first_redirect;
}

/// Whether a response that echoes the request id `echoed` may be the stored response of an earlier
/// request with the same service and idempotency key.
bool is_replay(const calls_by_id& calls, const event& call, const std::string& echoed)
{
    const auto original = calls.find(echoed);
    return original != calls.end() && !call.m_idempotency_key.empty() &&
           original->second->m_service == call.m_service &&
           original->second->m_idempotency_key == call.m_idempotency_key;
}

void check_refusal(const rule_input& input, const event& answer, findings& found)
{
    if (answer.m_executed != executed::no)
        return;
    if (const auto* start = input.m_index.by_request(answer.m_request_id)) {
        found.add(rule::truthful_refusal,
                  "request " + answer.m_request_id + " was reported as not executed, but server " +
                      start->m_server + " executed it",
                  {start, &answer});
    }
}

void check_success(const rule_input& input, const event& call, const event& answer, findings& found)
{
    if (!is_success(answer) || input.m_executions.empty())
        return;
    const bool has_execution =
        input.m_index.by_request(answer.m_request_id) != nullptr ||
        input.m_index.by_idempotency_key({call.m_service, call.m_idempotency_key}) != nullptr;
    if (!has_execution) {
        found.add(rule::truthful_success,
                  "request " + answer.m_request_id +
                      " received a successful response, but no server executed it",
                  {&call, &answer});
    }
}

void check_right_answer(const calls_by_id& calls, const event& call, const event& answer,
                        findings& found)
{
    if (is_success(answer) && !answer.m_whole) {
        found.add(rule::right_answer,
                  "request " + answer.m_request_id +
                      " received an incomplete response with a success status",
                  {&call, &answer});
        return;
    }
    if (!is_success(answer) && answer.m_echoed_request_id.empty())
        return;
    if (answer.m_echoed_request_id != answer.m_request_id &&
        !is_replay(calls, call, answer.m_echoed_request_id)) {
        found.add(rule::right_answer,
                  "request " + answer.m_request_id + " received the response of request \"" +
                      answer.m_echoed_request_id + "\"",
                  {&call, &answer});
    } else if (is_success(answer) && answer.m_echoed_key != call.m_key) {
        found.add(rule::right_answer,
                  "request " + answer.m_request_id + " for key \"" + call.m_key +
                      "\" received the response for key \"" + answer.m_echoed_key + "\"",
                  {&call, &answer});
    }
}

} // namespace

void check_answers(const rule_input& input, findings& found)
{
    const auto calls = find_calls(input.m_history);
    for (const auto& line : input.m_history.m_events) {
        if (line.m_kind != event_kind::call_finished)
            continue;
        check_refusal(input, line, found);
        const auto call = calls.find(line.m_request_id);
        if (call == calls.end())
            continue;
        check_success(input, *call->second, line, found);
        check_right_answer(calls, *call->second, line, found);
    }
}

void check_router_refusals(const rule_input& input, findings& found)
{
    for (const auto& line : input.m_history.m_events) {
        // The owner logs the outcome of one attempt, the entry node that of the caller's request.
        if (line.m_kind == event_kind::request_finished &&
            (line.m_role.empty() || line.m_role == "entry"))
            check_refusal(input, line, found);
    }
}

} // namespace azureladder::audit
