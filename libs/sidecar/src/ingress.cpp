#include "ingress_internal.hpp"

#include <azureladder/sidecar/step.hpp>

#include <algorithm>
#include <utility>

namespace azureladder::sidecar {

namespace {

/// Ping timeout after which idempotent requests at a node are sent to another one too. Longer than
/// the timeout after which the node receives no new requests, because one execution is wasted.
constexpr duration repeat_timeout = milliseconds(600);

/// Whether a request is idempotent and its attempts, deadline and retry budget allow a retry. Takes
/// the retry from the budget. `node` is the one that had the request last.
bool consume_retry(step_context& context, const open_request& request, const std::string& node)
{
    if (request.m_request->m_kind != routing::request_kind::idempotent ||
        request.m_executions >= request.m_max_attempts || context.m_now >= request.m_deadline)
        return false;
    return take_retry(context, request, node);
}

/// Sends a request to another node after an attempt that its node can't have executed, unless
/// another attempt is open.
void after_unexecuted_attempt(step_context& context, open_request& request, std::uint64_t frame,
                              const std::string& cause)
{
    request.m_failed_nodes.insert(end_attempt(context, request, frame));
    ++request.m_refusals;
    request.m_last_cause = cause;
    if (!request.m_attempts.empty())
        return;
    if (request.m_refusals >= max_refusals)
        finish_unserved(context, request);
    else
        dispatch(context, request);
}

/// Retries or ends a request after an attempt that failed or whose outcome is unknown, unless
/// another attempt is open.
void after_failed_attempt(step_context& context, open_request& request, std::uint64_t frame,
                          const std::string& cause)
{
    if (attempt_of(request, frame).m_lacks_body) {
        after_unexecuted_attempt(context, request, frame, cause);
        return;
    }
    const std::string node = end_attempt(context, request, frame);
    ++request.m_executions;
    request.m_last_cause = cause;
    request.m_failed_nodes.insert(node);
    if (!request.m_attempts.empty())
        return;
    if (consume_retry(context, request, node))
        dispatch(context, request);
    else
        finish_with_status(context, request, 502, "failed", {});
}

/// Dispatches the requests that wait for an owner and for which `is_due` returns true.
template <class Predicate>
void dispatch_waiting(step_context& context, Predicate is_due)
{
    std::vector<std::uint64_t> waiting;
    for (const auto& [caller, request] : context.m_state.m_requests) {
        if (request.m_waits_for_owner && is_due(request))
            waiting.push_back(caller);
    }
    for (const std::uint64_t caller : waiting) {
        open_request& request = context.m_state.m_requests.at(caller);
        request.m_waits_for_owner = false;
        request.m_failed_nodes.clear();
        dispatch(context, request);
    }
}

/// Whether a request with open attempts may be sent to a further node. A request bound to the owner
/// of its key may not, since no other node can execute it.
bool may_repeat_elsewhere(const node_state& state, const open_request& request)
{
    return request.m_request->m_kind == routing::request_kind::idempotent &&
           !is_bound_to_owner(state, request) && request.m_refusals < max_refusals &&
           request.m_executions + request.m_attempts.size() < request.m_max_attempts &&
           routing::may_retry(state.m_retry_budgets, request.m_request->m_service,
                              calls_of(state, request, request.m_attempts.back().m_node));
}

/// Whether an attempt awaits its result over a connection that is lost for longer than it may take
/// to replace it.
bool is_link_lost(const node_state& state, const request_attempt& attempt, time_point now)
{
    return attempt.m_link_lost_at != time_point{} &&
           now - attempt.m_link_lost_at > state.m_options.m_resume_window;
}

/// Whether the node of an attempt can't be reached any more. A node that has accepted a new
/// connection and not answered on it yet is slow, and the attempt can be resumed.
bool is_node_unreachable(const node_state& state, const request_attempt& attempt, time_point now)
{
    const auto peer = state.m_peers.find(attempt.m_node);
    return is_link_lost(state, attempt, now) &&
           (peer == state.m_peers.end() || peer->second.m_link == 0);
}

bool is_node_unresponsive(const node_state& state, const request_attempt& attempt, time_point now)
{
    const auto peer = state.m_peers.find(attempt.m_node);
    return is_link_lost(state, attempt, now) ||
           (peer != state.m_peers.end() && peer->second.m_ping_pending &&
            now - peer->second.m_ping_sent_at > repeat_timeout);
}

/// Whether the result of an open attempt can be expected, so that no further attempt is needed.
bool has_responsive_attempt(const node_state& state, const open_request& request, time_point now)
{
    return std::any_of(
        request.m_attempts.begin(), request.m_attempts.end(),
        [&](const auto& attempt) { return !is_node_unresponsive(state, attempt, now); });
}

/// Logs a decision about an attempt whose node does not respond, and what it was made from.
void log_unresponsive_node(step_context& context, const char* event, const open_request& request,
                           const request_attempt& attempt)
{
    json fields = request_fields(request);
    fields["gate"] = attempt.m_node;
    fields["attempt_ms"] = to_ms(context.m_now - attempt.m_sent_at);
    if (attempt.m_link_lost_at != time_point{})
        fields["link_lost_ms"] = to_ms(context.m_now - attempt.m_link_lost_at);
    const auto peer = context.m_state.m_peers.find(attempt.m_node);
    if (peer != context.m_state.m_peers.end()) {
        fields["connected"] = peer->second.m_link != 0;
        if (peer->second.m_ping_pending)
            fields["ping_pending_ms"] = to_ms(context.m_now - peer->second.m_ping_sent_at);
    }
    log(context, log_level::info, event, std::move(fields));
}

/// Sends a request to a further node, if one is open, and leaves its open attempts as they are:
/// their results may arrive first, or the other node may refuse the request.
void repeat_elsewhere(step_context& context, open_request& request)
{
    for (const auto& attempt : request.m_attempts)
        request.m_failed_nodes.insert(attempt.m_node);
    const std::string node = select_node(context, request);
    if (node.empty() || !take_retry(context, request, request.m_attempts.back().m_node))
        return;
    log_unresponsive_node(context, "request_repeated", request, request.m_attempts.back());
    send_request(context, request, node);
}

/// Moves a request that an unresponsive node can't have executed to another node, if one is open.
/// Nothing is taken from the retry budget, since the node can't execute it any more.
void move_unexecuted_attempt(step_context& context, std::uint64_t frame)
{
    open_request* request = find_request(context, frame);
    if (request == nullptr || request->m_refusals >= max_refusals)
        return;
    const request_attempt& attempt = attempt_of(*request, frame);
    request->m_failed_nodes.insert(attempt.m_node);
    const std::string node = select_node(context, *request);
    if (node.empty())
        return;
    log_unresponsive_node(context, "attempt_given_up", *request, attempt);
    send_cancel(context, *request, attempt);
    end_attempt(context, *request, frame);
    ++request->m_refusals;
    if (request->m_attempts.empty())
        send_request(context, *request, node);
}

void update_load_report(step_context& context, const std::string& node,
                        const routing::load_report& report)
{
    const auto peer = context.m_state.m_peers.find(node);
    if (peer == context.m_state.m_peers.end())
        return;
    peer->second.m_status.m_report = report;
    peer->second.m_reported_at = context.m_now;
    peer->second.m_sent_since_status = 0;
}

/// Whether only calls of backend servers use a route, as the gates of its service report.
bool is_call_route(node_state& state, const std::string& service, const std::string& route)
{
    const std::uint32_t hash = routing::route_hash(route);
    const auto& peers = state.m_peer_index.peers_of(state.m_peers, service);
    return std::any_of(peers.begin(), peers.end(), [&](const auto* peer) {
        const auto& routes = peer->second.m_status.m_called_routes;
        return std::find(routes.begin(), routes.end(), hash) != routes.end();
    });
}

/// Whether a stopping node accepts a new request: it is not too late, and the process does not end
/// before the latency objective of the request.
bool accepts_while_stopping(const node_state& state, duration latency_objective, time_point now)
{
    const duration elapsed = now - state.m_stop_requested_at;
    return elapsed <= state.m_options.m_stop_admission_window &&
           elapsed + latency_objective <= state.m_options.m_max_stop_time;
}

void refuse_new_request(step_context& context, const caller_request& arrived, int status,
                        const std::string& reason, duration retry_after)
{
    log(context, log_level::info, "request_finished",
        {{"request", arrived.m_request.m_request_id},
         {"outcome", status == 404 ? "no_route" : "refused"},
         {"status", status},
         {"cause", reason},
         {"host", arrived.m_request.m_host}});
    emit(context, respond_to_caller{arrived.m_caller, status, reason, retry_after});
}

} // namespace

void on_caller_request(step_context& context, const caller_request& arrived)
{
    node_state& state = context.m_state;
    const auto configuration = state.m_active_configuration.m_configuration;
    if (!configuration) {
        refuse_new_request(context, arrived, 503, "no configuration received yet",
                           default_retry_after);
        return;
    }
    const routing::route* route =
        routing::find_route(*configuration, arrived.m_request.m_host, arrived.m_request.m_target);
    if (state.m_stopping &&
        !accepts_while_stopping(state, route != nullptr ? route->m_latency_objective : duration{},
                                context.m_now)) {
        refuse_new_request(context, arrived, 503, "node is stopping", default_retry_after);
        return;
    }
    if (route == nullptr && configuration->m_has_unmatchable_routes) {
        refuse_new_request(context, arrived, 503, "the configuration has unreadable routes",
                           default_retry_after);
        return;
    }
    if (route == nullptr) {
        refuse_new_request(context, arrived, 404, "no route matches the host and path", {});
        return;
    }
    if (route->m_is_unusable) {
        refuse_new_request(context, arrived, 503, "the configuration of the route is unusable",
                           default_retry_after);
        return;
    }
    auto forwarded = std::make_shared<forwarded_request>(arrived.m_request);
    if (const auto refusal = identify_caller(*configuration, *route, arrived, *forwarded)) {
        refuse_new_request(context, arrived, refusal->m_status, refusal->m_reason,
                           refusal->m_status == 503 ? default_retry_after : duration{});
        return;
    }
    const routing::weighted_service* service =
        routing::next_service(state.m_service_selections[route->m_name], route->m_services);
    if (service == nullptr) {
        refuse_new_request(context, arrived, 503, "route has no service with a positive weight",
                           default_retry_after);
        return;
    }
    forwarded->m_service = service->m_service;
    forwarded->m_route = route->m_name;
    forwarded->m_priority = route->m_priority;
    forwarded->m_kind = route->m_kind;
    forwarded->m_caller_service = local_service(state);
    forwarded->m_is_call = is_call_route(state, service->m_service, route->m_name);

    open_request request;
    request.m_caller = arrived.m_caller;
    request.m_request = std::move(forwarded);
    request.m_max_attempts = std::max<std::uint32_t>(route->m_attempt_limit, 1);
    request.m_latency_objective = route->m_latency_objective;
    request.m_arrived = context.m_now;
    const duration remaining =
        std::min(arrived.m_remaining.value_or(route->m_timeout), route->m_timeout);
    request.m_deadline = context.m_now + remaining;
    const duration age =
        arrived.m_remaining
            ? routing::attempt_age(state.m_deadline_histories[route->m_name], *arrived.m_remaining,
                                   state.m_options.m_attempt_age)
            : duration::zero();
    request.m_is_retry = age > duration::zero();
    request.m_target = context.m_now + std::min(remaining, route->m_latency_objective - age);
    auto& budget = state.m_retry_budgets[request.m_request->m_service];
    if (request.m_request->m_is_call)
        routing::record_call(state.m_nested_calls, request.m_request->m_service);
    else
        routing::record_request(
            budget, state.m_options.m_retry,
            routing::max_tokens(state.m_options.m_retry, state.m_peers.size() + 1));
    const auto [place, added] = state.m_requests.emplace(arrived.m_caller, std::move(request));
    if (added)
        take_quota_and_dispatch(context, place->second);
}

void on_caller_disconnected(step_context& context, const caller_disconnected& left)
{
    const auto found = context.m_state.m_requests.find(left.m_caller);
    if (found == context.m_state.m_requests.end())
        return;
    open_request& request = found->second;
    const std::string gate =
        request.m_attempts.empty() ? std::string() : request.m_attempts.back().m_node;
    if (request.m_attempts.empty() && request.m_executions == 0)
        return_quota_token(context, request);
    const bool is_cancel_sent = cancel_attempts(context, request);
    log_end(context, request, "caller_left", 0, {{"gate", gate}, {"cancel_sent", is_cancel_sent}});
    context.m_state.m_requests.erase(found);
}

void on_response(step_context& context, const response_frame& frame)
{
    open_request* request = find_request(context, frame.m_id);
    if (request == nullptr)
        return;
    request_attempt& attempt = attempt_of(*request, frame.m_id);
    update_load_report(context, attempt.m_node, frame.m_report);
    // A response shows that the server had the whole request.
    attempt.m_lacks_body = false;
    if (const char* defect = find_defect(*frame.m_response)) {
        after_failed_attempt(context, *request, frame.m_id, defect);
        return;
    }
    if (frame.m_response->m_status < 500) {
        end_attempt(context, *request, frame.m_id);
        ++request->m_executions;
        finish_with_response(context, *request, frame.m_response);
        return;
    }
    request->m_failed_response = frame.m_response;
    after_failed_attempt(context, *request, frame.m_id,
                         "server answered " + std::to_string(frame.m_response->m_status));
}

void on_refusal(step_context& context, const refusal_frame& frame)
{
    open_request* request = find_request(context, frame.m_id);
    if (request == nullptr)
        return;
    const std::string node = end_attempt(context, *request, frame.m_id);
    update_load_report(context, node, frame.m_report);
    request->m_last_cause = std::string(find_enum_name(refusal_reason_names, frame.m_reason));
    ++request->m_refusals;
    const duration advised_delay(frame.m_retry_after_us);
    if (advised_delay > duration::zero() && (request->m_shortest_retry_after == duration::zero() ||
                                             advised_delay < request->m_shortest_retry_after))
        request->m_shortest_retry_after = advised_delay;
    if (frame.m_reason != refusal_reason::unknown_request)
        request->m_failed_nodes.insert(node);
    if (has_responsive_attempt(context.m_state, *request, context.m_now))
        return;
    const bool keyed = is_bound_to_owner(context.m_state, *request);
    if (keyed && frame.m_reason == refusal_reason::not_owner) {
        if (frame.m_owner)
            add_owner_hint(context, request->m_request->m_service, *frame.m_owner);
        if (frame.m_owner && request->m_refusals < max_refusals)
            dispatch(context, *request);
        else
            wait_for_owner(context, *request, "owner does not hold the range");
        return;
    }
    // The request reached a server, which rejected it, so another attempt counts against the retry
    // budget.
    const bool may_retry =
        frame.m_reason != refusal_reason::rejected_by_server || take_retry(context, *request, node);
    const bool only_owner_serves = keyed && frame.m_reason == refusal_reason::overloaded;
    if (request->m_refusals >= max_refusals || !may_retry || only_owner_serves)
        finish_unserved(context, *request);
    else
        dispatch(context, *request);
}

void on_failure(step_context& context, const failure_frame& frame)
{
    open_request* request = find_request(context, frame.m_id);
    if (request == nullptr)
        return;
    update_load_report(context, attempt_of(*request, frame.m_id).m_node, frame.m_report);
    after_failed_attempt(context, *request, frame.m_id, frame.m_cause);
}

void on_peer_link_lost(step_context& context, const std::string& node)
{
    for (auto& [caller, request] : context.m_state.m_requests) {
        for (auto& attempt : request.m_attempts) {
            if (attempt.m_node == node)
                attempt.m_link_lost_at = context.m_now;
        }
    }
}

void on_peer_connected(step_context& context, const std::string& node)
{
    const auto peer = context.m_state.m_peers.find(node);
    for (auto& cancel : peer->second.m_unconfirmed_cancels) {
        if (context.m_now >= cancel.m_deadline)
            continue;
        cancel.m_sent_at = context.m_now;
        send_to_node(context, node, cancel_frame{cancel.m_frame});
    }
    std::vector<std::uint64_t> failed;
    for (auto& [caller, request] : context.m_state.m_requests) {
        for (auto& attempt : request.m_attempts) {
            // The node may have dropped the result of a request whose deadline has passed.
            if (attempt.m_node != node || attempt.m_link_lost_at == time_point{} ||
                context.m_now >= request.m_deadline)
                continue;
            if (peer->second.m_incarnation != attempt.m_node_incarnation) {
                failed.push_back(attempt.m_frame);
                continue;
            }
            attempt.m_link_lost_at = {};
            send_to_node(context, node, resume_frame{attempt.m_frame});
        }
    }
    for (const std::uint64_t frame : failed) {
        if (open_request* request = find_request(context, frame))
            after_failed_attempt(context, *request, frame, "node restarted");
    }
    retry_waiting_requests(context);
}

void retry_waiting_requests(step_context& context)
{
    dispatch_waiting(context, [](const open_request& /*request*/) { return true; });
}

void check_open_requests(step_context& context)
{
    node_state& state = context.m_state;
    const time_point now = context.m_now;
    dispatch_waiting(context,
                     [&](const open_request& request) { return now >= request.m_retry_owner_at; });
    std::vector<std::uint64_t> late;
    std::vector<std::uint64_t> lost_frames;
    std::vector<std::uint64_t> unresponsive;
    std::vector<std::uint64_t> movable_frames;
    for (const auto& [caller, request] : state.m_requests) {
        if (now >= request.m_deadline) {
            late.push_back(caller);
            continue;
        }
        for (const auto& attempt : request.m_attempts) {
            if (is_node_unreachable(state, attempt, now))
                lost_frames.push_back(attempt.m_frame);
            else if (attempt.m_lacks_body && is_node_unresponsive(state, attempt, now) &&
                     !is_bound_to_owner(state, request))
                movable_frames.push_back(attempt.m_frame);
        }
        if (!request.m_attempts.empty() && !has_responsive_attempt(state, request, now) &&
            may_have_been_executed(request) && may_repeat_elsewhere(state, request))
            unresponsive.push_back(caller);
    }
    for (const std::uint64_t caller : late) {
        open_request& request = state.m_requests.at(caller);
        const bool may_have_run = may_have_been_executed(request);
        cancel_attempts(context, request);
        if (may_have_run)
            finish_with_status(context, request, 504, "timed_out", {});
        else
            finish_unserved(context, request);
    }
    for (const std::uint64_t caller : unresponsive)
        repeat_elsewhere(context, state.m_requests.at(caller));
    for (const std::uint64_t frame : movable_frames)
        move_unexecuted_attempt(context, frame);
    for (const std::uint64_t frame : lost_frames) {
        open_request* request = find_request(context, frame);
        if (request == nullptr)
            continue;
        const request_attempt& attempt = attempt_of(*request, frame);
        log_unresponsive_node(context, "attempt_given_up", *request, attempt);
        send_cancel(context, *request, attempt);
        after_failed_attempt(context, *request, frame, "node unreachable");
    }
}

} // namespace azureladder::sidecar
