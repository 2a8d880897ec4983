#include <azureladder/core/routing.hpp>

#include "routing_internal.hpp"

#include <azureladder/base/hash.hpp>
#include <azureladder/base/precondition.hpp>
#include <azureladder/core/ownership.hpp>

namespace azureladder::core {

namespace {

/// Passes an event to the functions of the module that handle it.
class event_handler
{
public:
    explicit event_handler(routing_context& context) : m_context(context) {}

    void operator()(const timer_tick&)
    {
        detect_return_to_service(m_context);
        cancel_attempts_without_lease(m_context);
        fail_unservable_requests(m_context);
        expire_unreported_attempts(m_context);
        update_upstream_stats(m_context);
        retry_waiting_requests(m_context);
    }

    void operator()(const message_received& input)
    {
        if (const auto* reply = std::get_if<claim_reply>(&input.m_message)) {
            handle_claim_reply(m_context, reply->m_token, *reply);
            return;
        }
        retry_waiting_requests(m_context);
    }

    void operator()(const store_finished&) { retry_waiting_requests(m_context); }

    void operator()(const backend_announced& input) { handle_announcement(m_context, input); }
    void operator()(const request_arrived& input) { handle_arrival(m_context, input); }
    void operator()(const request_abandoned& input) { handle_abandoned(m_context, input.m_token); }
    void operator()(const attempt_finished& input) { handle_attempt_finished(m_context, input); }
    void operator()(const change_requested&) {}
    void operator()(const stop_requested&) { m_context.m_state.m_stopping = true; }

private:
    routing_context& m_context;
};

} // namespace

void step_routing(node_state& state, time_point now, const event& input, effects& output)
{
    routing_context context{state, now, output};
    handle_local_claim_replies(context);
    std::visit(event_handler(context), input);
    run_due_timers(context);
    dispatch_queued(context);
}

std::size_t in_flight_request_count(const node_state& state, const slice_id& slice)
{
    std::size_t count = 0;
    const auto& routing = state.m_routing;
    for (const auto token : queued_tokens(routing.m_queue)) {
        const auto found = routing.m_requests.find(token);
        if (found != routing.m_requests.end() && found->second.m_slice == slice)
            ++count;
    }
    for (const auto& [id, attempt] : routing.m_attempts) {
        if (attempt.m_is_local && attempt.m_slice.m_slice == slice)
            ++count;
    }
    // Requests that wait for the standby's acknowledgement of their claim are not queued yet.
    for (const auto& [id, copy] : state.m_claims.m_copies) {
        if (copy.m_blocks_request && id.first == slice)
            ++count;
    }
    return count;
}

std::size_t open_request_count(const node_state& state)
{
    return state.m_routing.m_requests.size();
}

slice_id slice_for_key(const node_state& state, const std::string& service, const std::string& key)
{
    const auto* record = records::find_service(state.m_configuration.m_document, service);
    AZURELADDER_PRECONDITION(record != nullptr, "the service must exist");
    return {records::slice_space_of_key(*record, key), slice_of_key(key, record->m_slices)};
}

open_request* find_request(node_state& state, request_token token)
{
    const auto found = state.m_routing.m_requests.find(token);
    return found == state.m_routing.m_requests.end() ? nullptr : &found->second;
}

service_stats& stats_of(node_state& state, const std::string& service)
{
    return state.m_routing.m_services[service];
}

} // namespace azureladder::core
