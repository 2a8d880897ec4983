#include "ingress_internal.hpp"

#include <azureladder/routing/scaled_duration.hpp>
#include <azureladder/sidecar/step.hpp>

#include <algorithm>
#include <utility>

namespace azureladder::sidecar {

namespace {

/// Delay before a request is sent again to the owner of a range in transfer, multiplied by the
/// number of refusals so far. A transfer takes as long as the running requests on its keys.
constexpr duration owner_retry_delay = milliseconds(60);

/// Owner hints retained per table. More simultaneous transfers are rare.
constexpr std::size_t max_hints = 32;

/// Whether a gate that refuses the request is the last one that is tried, or none can meet its
/// target any more.
bool accepts_late(step_context& context, const open_request& request)
{
    node_state& state = context.m_state;
    if (request.m_refusals + 1 >= max_refusals || is_bound_to_owner(state, request) ||
        request.m_target <= context.m_now)
        return true;
    const std::string& service = request.m_request->m_service;
    const std::size_t nodes = state.m_peer_index.peers_of(state.m_peers, service).size() +
                              (local_service(state) == service ? 1 : 0);
    return request.m_failed_nodes.size() + 1 >= nodes;
}

forwarded_request_ptr without_body(const forwarded_request& request)
{
    auto result = std::make_shared<forwarded_request>(request);
    result->m_body = {};
    return result;
}

} // namespace

void send_request(step_context& context, open_request& request, const std::string& node)
{
    node_state& state = context.m_state;
    request_attempt attempt;
    attempt.m_node = node;
    attempt.m_frame = state.m_next_frame++;
    attempt.m_sent_at = context.m_now;
    request.m_waits_for_owner = false;
    state.m_caller_of_frame[attempt.m_frame] = request.m_caller;
    const auto peer = state.m_peers.find(node);
    if (peer != state.m_peers.end()) {
        ++peer->second.m_open_requests;
        ++peer->second.m_sent_since_status;
        attempt.m_node_incarnation = peer->second.m_incarnation;
    }
    json fields = request_fields(request);
    // "node" already names the node that writes the log line.
    fields["gate"] = node;
    fields["priority"] = request.m_request->m_priority;
    fields["target_ms"] = to_ms(request.m_latency_objective);
    if (request.m_request->m_key)
        fields["key"] = *request.m_request->m_key;
    log(context, log_level::info, "request_sent", std::move(fields));
    request_frame frame;
    frame.m_id = attempt.m_frame;
    frame.m_request = request.m_request;
    const std::size_t body_bytes = request.m_request->m_body.size();
    // A request to this node itself needs no transfer.
    if (node != state.m_options.m_node && body_bytes > state.m_options.m_separate_body_bytes) {
        frame.m_request = without_body(*request.m_request);
        frame.m_body_bytes = body_bytes;
        attempt.m_lacks_body = true;
    }
    frame.m_remaining_us = (request.m_deadline - context.m_now).count();
    frame.m_target_us = (request.m_target - context.m_now).count();
    frame.m_is_retry = request.m_is_retry;
    frame.m_sent_us = to_us(context.m_now);
    frame.m_accepts_late = accepts_late(context, request);
    request.m_attempts.push_back(std::move(attempt));
    send_to_node(context, node, std::move(frame));
}

routing::calls_by_service calls_of(const node_state& state, const open_request& request,
                                   const std::string& node)
{
    if (request.m_request->m_is_call)
        return {};
    if (node == state.m_options.m_node)
        return routing::calls_per_execution(state.m_nested_calls);
    const auto peer = state.m_peers.find(node);
    return peer == state.m_peers.end() ? routing::calls_by_service()
                                       : peer->second.m_status.m_calls_per_execution;
}

bool take_retry(step_context& context, const open_request& request, const std::string& node)
{
    node_state& state = context.m_state;
    return routing::take_retry(state.m_retry_budgets, request.m_request->m_service,
                               calls_of(state, request, node));
}

void on_body_request(step_context& context, std::uint64_t link, const std::string& node,
                     const body_request_frame& frame)
{
    open_request* request = find_request(context, frame.m_id);
    if (request == nullptr || attempt_of(*request, frame.m_id).m_node != node) {
        // The request has ended, and its cancel may have been lost with a connection. The gate
        // holds a slot for it.
        send_on_link(context, link, cancel_frame{frame.m_id});
        return;
    }
    attempt_of(*request, frame.m_id).m_lacks_body = false;
    // The frame shares the body with the request, which keeps it until the result has arrived.
    send_on_link(context, link,
                 body_frame{frame.m_id, std::shared_ptr<const std::string>(
                                            request->m_request, &request->m_request->m_body)});
}

void wait_for_owner(step_context& context, open_request& request, const char* cause)
{
    const duration limit = routing::scaled(request.m_latency_objective,
                                           context.m_state.m_options.m_transfer_wait_share);
    request.m_last_cause = cause;
    if (context.m_now - request.m_arrived < limit) {
        request.m_waits_for_owner = true;
        request.m_retry_owner_at =
            context.m_now +
            owner_retry_delay * static_cast<std::int64_t>(std::max(request.m_refusals, 1U));
        return;
    }
    finish_unserved(context, request);
}

namespace {

/// Owner of a key by the table or by a newer owner hint; empty while the range of a lost owner is
/// being taken over.
std::string owner_of(const received_table& table, std::uint32_t key)
{
    const auto* entry = key_ranges::find_range(table.m_table, key);
    const owner_hint* newest = nullptr;
    for (const auto& hint : table.m_hints) {
        if (key >= hint.m_from && key <= hint.m_to &&
            (newest == nullptr || hint.m_fencing_token > newest->m_fencing_token))
            newest = &hint;
    }
    if (newest != nullptr && (entry == nullptr || newest->m_fencing_token > entry->m_fencing_token))
        return newest->m_owner;
    if (entry == nullptr || entry->m_state == key_ranges::range_state::taking_over)
        return {};
    return entry->m_owner;
}

} // namespace

void add_owner_hint(step_context& context, const std::string& service, const owner_hint& hint)
{
    const auto table = context.m_state.m_tables.find(service);
    if (table == context.m_state.m_tables.end())
        return;
    auto& hints = table->second.m_hints;
    if (hints.size() >= max_hints)
        hints.erase(hints.begin());
    hints.push_back(hint);
}

namespace {

void dispatch_to_owner(step_context& context, open_request& request)
{
    node_state& state = context.m_state;
    const auto table = state.m_tables.find(request.m_request->m_service);
    if (table == state.m_tables.end()) {
        wait_for_owner(context, request, "range table not received yet");
        return;
    }
    const std::string owner = owner_of(table->second, *request.m_request->m_key);
    if (owner.empty()) {
        request.m_last_cause = "range has no owner yet";
        finish_unserved(context, request);
        return;
    }
    const bool refused = request.m_failed_nodes.count(owner) != 0;
    const auto peer = state.m_peers.find(owner);
    const bool reachable =
        owner == state.m_options.m_node ||
        (peer != state.m_peers.end() && is_usable(state, peer->second, context.m_now));
    if (refused)
        wait_for_owner(context, request, "owner does not hold the range");
    else if (!reachable)
        wait_for_owner(context, request, "owner unreachable");
    else
        send_request(context, request, owner);
}

} // namespace

std::string select_node(step_context& context, const open_request& request)
{
    node_state& state = context.m_state;
    std::vector<routing::server_candidate> candidates;
    std::vector<const std::string*> nodes;
    const auto& peers = state.m_peer_index.peers_of(state.m_peers, request.m_request->m_service);
    candidates.reserve(peers.size() + 1);
    nodes.reserve(peers.size() + 1);
    const auto add = [&](const std::string& node, const node_status& status, duration age,
                         bool same_zone, duration distance, std::uint32_t sent, duration transfer) {
        if (status.m_service != request.m_request->m_service ||
            request.m_failed_nodes.count(node) != 0)
            return;
        candidates.push_back({status.m_report, {}, sent, age, same_zone, distance, transfer});
        nodes.push_back(&node);
    };
    if (local_service(state) == request.m_request->m_service)
        add(state.m_options.m_node, status_of(state, context.m_now), {}, true, {}, 0, {});
    for (const auto* entry : peers) {
        const auto& [node, peer] = *entry;
        if (is_usable(state, peer, context.m_now) && !peer.m_status.m_leaving)
            add(node, peer.m_status, context.m_now - peer.m_reported_at,
                peer.m_zone == state.m_options.m_zone, peer.m_round_trip, peer.m_sent_since_status,
                routing::transfer_time(request.m_request->m_body.size(),
                                       state.m_options.m_link_mbps, peer.m_status.m_link_mbps));
    }
    routing::set_service_times(candidates, routing::route_hash(request.m_request->m_route));
    const std::size_t chosen =
        routing::select_server(candidates,
                               routing::options_for_target(state.m_options.m_server_selection,
                                                           request.m_target - context.m_now),
                               state.m_random());
    return chosen == candidates.size() ? std::string() : *nodes[chosen];
}

namespace {

void dispatch_to_any(step_context& context, open_request& request)
{
    const std::string node = select_node(context, request);
    if (!node.empty()) {
        send_request(context, request, node);
        return;
    }
    if (request.m_refusals == 0)
        request.m_last_cause = "no open backend server";
    finish_unserved(context, request);
}

} // namespace

void dispatch(step_context& context, open_request& request)
{
    if (context.m_now >= request.m_deadline) {
        finish_unserved(context, request);
        return;
    }
    if (is_bound_to_owner(context.m_state, request))
        dispatch_to_owner(context, request);
    else
        dispatch_to_any(context, request);
}

} // namespace azureladder::sidecar
