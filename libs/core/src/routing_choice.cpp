#include "routing_internal.hpp"

#include <azureladder/core/claims.hpp>
#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

#include <algorithm>

/// Selection of the node that serves a request, and the wait of entry nodes for an owner.
namespace azureladder::core {

namespace {

void route_divided(routing_context& context, request_token token)
{
    auto& state = context.m_state;
    auto& request = *find_request(state, token);
    const auto location = find_location(state.m_directory, request.m_slice);
    request.m_attempted_location = location.value_or(slice_location{});
    // The lease and the plan decide whether this node serves; they may be newer than the slice
    // table.
    if (serving_epoch(state, request.m_slice, context.m_now)) {
        admit_locally(context, token);
        return;
    }
    if (!location || location->m_owner == self(state)) {
        wait_for_owner(context, token, error_code::no_owner);
        return;
    }
    const auto* owner = find_plan(state.m_directory, location->m_owner);
    if (owner == nullptr) {
        wait_for_owner(context, token, error_code::no_owner);
        return;
    }
    forward_attempt(
        context, token,
        {owner->m_member, owner->m_peer_address, owner->m_zone == state.m_identity.m_zone}, false);
}

/// Whether the directory contains a node that runs the service, including nodes out of service.
bool has_known_upstream(const node_state& state, const std::string& service)
{
    const auto plans = newest_plans(state.m_directory);
    return std::any_of(plans.begin(), plans.end(),
                       [&](const plan* value) { return value->m_service == service; });
}

void route_spread(routing_context& context, request_token token)
{
    auto& state = context.m_state;
    auto& request = *find_request(state, token);
    if (needs_claim(state, request)) {
        start_claim(context, token,
                    claim_slice(state, request.m_info.m_service, request.m_info.m_idempotency_key));
        return;
    }
    const auto* target = choose_upstream(context, request, false);
    if (target == nullptr)
        target = choose_upstream(context, request, true);
    if (target == nullptr && !has_known_upstream(state, request.m_info.m_service)) {
        wait_for_owner(context, token, error_code::no_upstream);
        return;
    }
    if (target == nullptr) {
        answer_error(context, token, error_code::no_upstream,
                     "no upstream of the service is available");
        return;
    }
    if (target->m_member == self(state)) {
        admit_locally(context, token);
        return;
    }
    forward_attempt(context, token, *target, false);
}

} // namespace

void route_request(routing_context& context, request_token token)
{
    auto& request = *find_request(context.m_state, token);
    request.m_retry_at = time_point::max();
    context.m_state.m_routing.m_waiting.erase(token);
    if (is_divided(request))
        route_divided(context, token);
    else
        route_spread(context, token);
}

void admit_locally(routing_context& context, request_token token)
{
    auto& request = *find_request(context.m_state, token);
    request.m_attempted_nodes.push_back(context.m_state.m_identity.m_node);
    if (const auto refusal = local_refusal_reason(context, request, true)) {
        handle_attempt_failure(context, token, *refusal, true);
        return;
    }
    if (is_divided(request) && needs_claim(context.m_state, request)) {
        start_claim(context, token, request.m_slice);
        return;
    }
    enqueue(context, token);
}

void wait_for_owner(routing_context& context, request_token token, error_code code)
{
    auto& routing = context.m_state.m_routing;
    auto& request = *find_request(context.m_state, token);
    if (request.m_wait_until == time_point{})
        request.m_wait_until = context.m_now + max_owner_wait;
    const bool full = routing.m_waiting.size() >= max_waiting_requests;
    if (full || request.m_abandoned || context.m_now + owner_retry_delay > request.m_wait_until) {
        const char* cause =
            is_divided(request) ? "no node serves the key" : "no node runs the service";
        answer_error(context, token, code,
                     full ? "too many requests wait for an owner or upstream" : cause);
        return;
    }
    request.m_phase = request_phase::waiting_owner;
    request.m_last_error = code;
    request.m_retry_at = context.m_now + owner_retry_delay;
    routing.m_waiting.insert(token);
    write_event(
        context, log_level::debug, "request_waiting",
        {{"request_id", request.m_info.m_request_id}, {"reason", std::string(to_string(code))}});
    schedule_timer(context, token);
}

void retry_waiting_requests(routing_context& context)
{
    auto& state = context.m_state;
    std::vector<request_token> ready;
    for (const auto token : state.m_routing.m_waiting) {
        const auto& request = *find_request(state, token);
        const auto location =
            find_location(state.m_directory, request.m_slice).value_or(slice_location{});
        const bool changed = location.m_owner != request.m_attempted_location.m_owner ||
                             location.m_epoch != request.m_attempted_location.m_epoch;
        if (changed || context.m_now >= request.m_retry_at)
            ready.push_back(token);
    }
    for (const auto token : ready) {
        if (find_request(state, token) != nullptr)
            route_request(context, token);
    }
}

void schedule_hedge(routing_context& context, open_request& request)
{
    const auto* service =
        records::find_service(context.m_state.m_configuration.m_document, request.m_info.m_service);
    const auto& stats = stats_of(context.m_state, request.m_info.m_service);
    if (service == nullptr || !service->m_hedging || is_divided(request) || request.m_hedged ||
        !request.m_is_entry || !request.m_info.m_idempotent || stats.m_hedge_delay <= duration(0))
        return;
    request.m_hedge_at = context.m_now + stats.m_hedge_delay;
}

void forward_attempt(routing_context& context, request_token token, const upstream_address& target,
                     bool hedge)
{
    auto& state = context.m_state;
    auto& request = *find_request(state, token);
    const auto number = ++request.m_last_attempt;
    open_attempt attempt;
    attempt.m_to = target.m_member;
    attempt.m_service = request.m_info.m_service;
    attempt.m_started = context.m_now;
    attempt.m_deadline = request.m_deadline;
    attempt.m_is_hedge = hedge;
    state.m_routing.m_attempts.emplace(std::make_pair(token, number), attempt);
    ++stats_of(state, request.m_info.m_service).m_upstreams[target.m_member].m_in_flight;
    request.m_phase = request_phase::active;
    request.m_attempted_nodes.push_back(target.m_member.m_node);
    write_event(context, log_level::info, "request_forwarded",
                {{"request_id", request.m_info.m_request_id},
                 {"attempt", number},
                 {"to", target.m_member.m_node},
                 {"to_incarnation", target.m_member.m_incarnation}});
    context.m_output.emplace_back(forward_request{token, number, target.m_member, target.m_address,
                                                  request.m_deadline,
                                                  !is_divided(request) && request.m_claim.m_held});
    if (!hedge)
        schedule_hedge(context, request);
    schedule_timer(context, token);
}

} // namespace azureladder::core
