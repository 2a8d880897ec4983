#include "ingress_internal.hpp"

#include <azureladder/sidecar/step.hpp>

#include <algorithm>
#include <utility>

namespace azureladder::sidecar {

json request_fields(const open_request& request)
{
    json fields = {{"request", request.m_request->m_request_id},
                   {"route", request.m_request->m_route},
                   {"service", request.m_request->m_service}};
    if (!request.m_request->m_organisation.empty())
        fields["organisation"] = request.m_request->m_organisation;
    return fields;
}

open_request* find_request(step_context& context, std::uint64_t frame)
{
    const auto caller = context.m_state.m_caller_of_frame.find(frame);
    if (caller == context.m_state.m_caller_of_frame.end())
        return nullptr;
    const auto found = context.m_state.m_requests.find(caller->second);
    return found == context.m_state.m_requests.end() ? nullptr : &found->second;
}

bool is_bound_to_owner(const node_state& state, const open_request& request)
{
    const auto* service = find_service(state, request.m_request->m_service);
    return service != nullptr && service->m_is_sharded && request.m_request->m_key.has_value();
}

request_attempt& attempt_of(open_request& request, std::uint64_t frame)
{
    return *std::find_if(request.m_attempts.begin(), request.m_attempts.end(),
                         [&](const auto& attempt) { return attempt.m_frame == frame; });
}

std::string end_attempt(step_context& context, open_request& request, std::uint64_t frame)
{
    const auto ended = std::find_if(request.m_attempts.begin(), request.m_attempts.end(),
                                    [&](const auto& attempt) { return attempt.m_frame == frame; });
    std::string node = std::move(ended->m_node);
    request.m_attempts.erase(ended);
    context.m_state.m_caller_of_frame.erase(frame);
    const auto peer = context.m_state.m_peers.find(node);
    if (peer != context.m_state.m_peers.end() && peer->second.m_open_requests > 0)
        --peer->second.m_open_requests;
    return node;
}

bool send_cancel(step_context& context, const open_request& request, const request_attempt& attempt)
{
    const auto peer = context.m_state.m_peers.find(attempt.m_node);
    if (peer != context.m_state.m_peers.end()) {
        auto& cancels = peer->second.m_unconfirmed_cancels;
        while (!cancels.empty() && cancels.front().m_deadline <= context.m_now)
            cancels.pop_front();
        cancels.push_back({attempt.m_frame, context.m_now, request.m_deadline});
    }
    return send_to_node(context, attempt.m_node, cancel_frame{attempt.m_frame});
}

bool cancel_attempts(step_context& context, open_request& request)
{
    bool are_sent = !request.m_attempts.empty();
    while (!request.m_attempts.empty()) {
        const request_attempt& attempt = request.m_attempts.back();
        are_sent &= send_cancel(context, request, attempt);
        end_attempt(context, request, attempt.m_frame);
    }
    return are_sent;
}

void log_end(step_context& context, const open_request& request, const char* outcome, int status,
             const json& further_fields)
{
    json fields = request_fields(request);
    fields.update(further_fields);
    fields["outcome"] = outcome;
    fields["status"] = status;
    fields["executions"] = request.m_executions;
    fields["refusals"] = request.m_refusals;
    fields["elapsed_us"] = (context.m_now - request.m_arrived).count();
    fields["version"] = context.m_state.m_active_configuration.m_configuration
                            ? context.m_state.m_active_configuration.m_configuration->m_version
                            : 0;
    if (!request.m_last_cause.empty())
        fields["cause"] = request.m_last_cause;
    log(context, log_level::info, "request_finished", std::move(fields));
    emit(context,
         record_request{request.m_request->m_service, request.m_request->m_caller_service,
                        request.m_request->m_priority, outcome, context.m_now - request.m_arrived});
}

void finish_with_response(step_context& context, open_request& request,
                          server_response_ptr response)
{
    log_end(context, request, "answered", response->m_status);
    emit(context, forward_response{request.m_caller, std::move(response)});
    cancel_attempts(context, request);
    context.m_state.m_requests.erase(request.m_caller);
}

void finish_with_status(step_context& context, open_request& request, int status,
                        const char* outcome, duration retry_after)
{
    if (request.m_failed_response) {
        finish_with_response(context, request, request.m_failed_response);
        return;
    }
    if (status == 503)
        return_quota_token(context, request);
    log_end(context, request, outcome, status);
    const std::string reason =
        request.m_last_cause.empty() ? outcome : outcome + (": " + request.m_last_cause);
    emit(context, respond_to_caller{request.m_caller, status, reason, retry_after});
    cancel_attempts(context, request);
    context.m_state.m_requests.erase(request.m_caller);
}

void finish_unserved(step_context& context, open_request& request)
{
    if (!request.m_attempts.empty())
        return;
    if (request.m_executions > 0) {
        finish_with_status(context, request, 502, "failed", {});
        return;
    }
    const duration advised_delay = request.m_shortest_retry_after > duration::zero()
                                       ? request.m_shortest_retry_after
                                       : default_retry_after;
    finish_with_status(context, request, 503, "refused", advised_delay);
}

} // namespace azureladder::sidecar
