#include "step_context.hpp"

#include <azureladder/sidecar/step.hpp>

#include <algorithm>
#include <utility>

namespace azureladder::sidecar {

namespace {

/// Advice of a refusal when no gate gave a better one.
constexpr duration default_retry_after = milliseconds(250);

/// Refusals of gates after which a request is refused, so that it is not held for long.
constexpr std::uint32_t max_refusals = 3;

/// Silence of a node after which its idempotent requests are sent to another one. Longer than the
/// time after which it gets no new ones, since the first execution is wasted.
constexpr duration resend_after = milliseconds(600);

/// Pause before the owner of a moving range is asked again, for each refusal so far. A move takes
/// as long as the running work on its keys.
constexpr duration ask_owner_pause = milliseconds(60);

/// Owner hints kept for one table; more than that many moves at once are rare.
constexpr std::size_t max_hints = 32;

json request_fields(const open_request& request)
{
    return {{"request", request.m_request->m_request_id},
            {"route", request.m_request->m_route},
            {"service", request.m_request->m_service}};
}

open_request* find_request(step_context& context, std::uint64_t frame)
{
    const auto caller = context.m_state.m_caller_of_frame.find(frame);
    if (caller == context.m_state.m_caller_of_frame.end())
        return nullptr;
    const auto found = context.m_state.m_requests.find(caller->second);
    return found == context.m_state.m_requests.end() ? nullptr : &found->second;
}

/// Ends the present attempt of a request at its node.
void end_attempt(step_context& context, open_request& request)
{
    if (request.m_frame == 0)
        return;
    context.m_state.m_caller_of_frame.erase(request.m_frame);
    const auto peer = context.m_state.m_peers.find(request.m_node);
    if (peer != context.m_state.m_peers.end() && peer->second.m_open_requests > 0)
        --peer->second.m_open_requests;
    request.m_frame = 0;
    request.m_node.clear();
    request.m_link_lost_at = {};
}

void cancel_attempt(step_context& context, open_request& request)
{
    if (request.m_frame == 0)
        return;
    send_to_node(context, request.m_node, cancel_frame{request.m_frame});
    end_attempt(context, request);
}

void log_end(step_context& context, const open_request& request, const char* outcome, int status)
{
    json fields = request_fields(request);
    fields["outcome"] = outcome;
    fields["status"] = status;
    fields["executions"] = request.m_executions;
    fields["refusals"] = request.m_refusals;
    fields["elapsed_us"] = (context.m_now - request.m_arrived).count();
    fields["version"] = context.m_state.m_known.m_configuration
                            ? context.m_state.m_known.m_configuration->m_version
                            : 0;
    if (!request.m_last_cause.empty())
        fields["cause"] = request.m_last_cause;
    log(context, log_level::info, "request_finished", std::move(fields));
}

void finish_with_answer(step_context& context, open_request& request, server_answer_ptr answer)
{
    log_end(context, request, "answered", answer->m_status);
    emit(context, pass_answer{request.m_caller, std::move(answer)});
    end_attempt(context, request);
    context.m_state.m_requests.erase(request.m_caller);
}

void finish_with_status(step_context& context, open_request& request, int status,
                        const char* outcome, duration retry_after)
{
    if (request.m_failed_answer) {
        finish_with_answer(context, request, request.m_failed_answer);
        return;
    }
    log_end(context, request, outcome, status);
    const std::string reason =
        request.m_last_cause.empty() ? outcome : outcome + (": " + request.m_last_cause);
    emit(context, answer_caller{request.m_caller, status, reason, retry_after});
    end_attempt(context, request);
    context.m_state.m_requests.erase(request.m_caller);
}

/// Ends a request that no gate takes. Only one that surely was not executed is called refused.
void finish_unserved(step_context& context, open_request& request)
{
    if (request.m_executions > 0) {
        finish_with_status(context, request, 502, "failed", {});
        return;
    }
    const duration advised =
        request.m_advised_wait > duration::zero() ? request.m_advised_wait : default_retry_after;
    finish_with_status(context, request, 503, "refused", advised);
}

void send_request(step_context& context, open_request& request, const std::string& node)
{
    node_state& state = context.m_state;
    request.m_node = node;
    request.m_frame = state.m_next_frame++;
    request.m_sent_at = context.m_now;
    request.m_waits_for_owner = false;
    state.m_caller_of_frame[request.m_frame] = request.m_caller;
    const auto peer = state.m_peers.find(node);
    if (peer != state.m_peers.end()) {
        ++peer->second.m_open_requests;
        ++peer->second.m_sent_since_status;
        request.m_node_incarnation = peer->second.m_incarnation;
    }
    json fields = request_fields(request);
    fields["node"] = node;
    fields["priority"] = request.m_request->m_priority;
    fields["target_ms"] = to_ms(request.m_target_latency);
    if (request.m_request->m_key)
        fields["key"] = *request.m_request->m_key;
    log(context, log_level::info, "request_sent", std::move(fields));
    request_frame frame;
    frame.m_id = request.m_frame;
    frame.m_request = request.m_request;
    frame.m_remaining_us = (request.m_deadline - context.m_now).count();
    frame.m_target_us = (request.m_target - context.m_now).count();
    send_to_node(context, node, std::move(frame));
}

/// Lets a request wait for the owner of its key, or refuses it when it has waited long enough.
void wait_for_owner(step_context& context, open_request& request, const char* cause)
{
    const auto limit =
        duration(static_cast<duration::rep>(static_cast<double>(request.m_target_latency.count()) *
                                            context.m_state.m_options.m_moving_wait_share));
    request.m_last_cause = cause;
    if (context.m_now - request.m_arrived < limit) {
        request.m_waits_for_owner = true;
        request.m_ask_owner_at =
            context.m_now +
            ask_owner_pause * static_cast<std::int64_t>(std::max(request.m_refusals, 1U));
        return;
    }
    finish_unserved(context, request);
}

/// Node that owns a key by the newest sign of it; empty while a lost owner's range is taken over.
std::string owner_of(const known_table& table, std::uint32_t key)
{
    const auto* entry = key_ranges::find_entry(table.m_table, key);
    const owner_hint* newest = nullptr;
    for (const auto& hint : table.m_hints) {
        if (key >= hint.m_from && key <= hint.m_to &&
            (newest == nullptr || hint.m_fence > newest->m_fence))
            newest = &hint;
    }
    if (newest != nullptr && (entry == nullptr || newest->m_fence > entry->m_fence))
        return newest->m_owner;
    if (entry == nullptr || entry->m_state == key_ranges::range_state::claimed)
        return {};
    return entry->m_owner;
}

void note_owner(step_context& context, const std::string& service, const owner_hint& hint)
{
    const auto table = context.m_state.m_tables.find(service);
    if (table == context.m_state.m_tables.end())
        return;
    auto& hints = table->second.m_hints;
    if (hints.size() >= max_hints)
        hints.erase(hints.begin());
    hints.push_back(hint);
}

void dispatch_to_owner(step_context& context, open_request& request)
{
    node_state& state = context.m_state;
    const auto table = state.m_tables.find(request.m_request->m_service);
    if (table == state.m_tables.end()) {
        wait_for_owner(context, request, "range table unknown");
        return;
    }
    const std::string owner = owner_of(table->second, *request.m_request->m_key);
    if (owner.empty()) {
        request.m_last_cause = "range has no owner yet";
        finish_unserved(context, request);
        return;
    }
    const bool refused = request.m_tried.count(owner) != 0;
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

void dispatch_to_any(step_context& context, open_request& request)
{
    node_state& state = context.m_state;
    std::vector<routing::placement_candidate> candidates;
    std::vector<std::string> nodes;
    const auto add = [&](const std::string& node, const node_status& status, duration age,
                         bool same_zone, duration distance, std::uint32_t sent) {
        if (status.m_service != request.m_request->m_service || request.m_tried.count(node) != 0)
            return;
        candidates.push_back({status.m_report, sent, age, same_zone, distance});
        nodes.push_back(node);
    };
    add(state.m_options.m_node, status_of(state, context.m_now), {}, true, {}, 0);
    for (const auto& [node, peer] : state.m_peers) {
        if (is_usable(state, peer, context.m_now) && !peer.m_status.m_leaving)
            add(node, peer.m_status, context.m_now - peer.m_reported_at,
                peer.m_zone == state.m_options.m_zone, peer.m_round_trip, peer.m_sent_since_status);
    }
    const std::size_t chosen =
        routing::choose_candidate(candidates, state.m_options.m_placement, state.m_random());
    if (chosen == candidates.size()) {
        if (request.m_refusals == 0)
            request.m_last_cause = "no open backend server";
        finish_unserved(context, request);
        return;
    }
    send_request(context, request, nodes[chosen]);
}

void dispatch(step_context& context, open_request& request)
{
    if (context.m_now >= request.m_deadline) {
        finish_unserved(context, request);
        return;
    }
    const auto* service = find_service(context.m_state, request.m_request->m_service);
    if (service != nullptr && service->m_keyed && request.m_request->m_key)
        dispatch_to_owner(context, request);
    else
        dispatch_to_any(context, request);
}

/// Whether an idempotent request may be executed once more.
bool may_execute_again(step_context& context, const open_request& request)
{
    if (request.m_request->m_kind != routing::request_kind::idempotent ||
        request.m_executions >= request.m_max_attempts || context.m_now >= request.m_deadline)
        return false;
    return routing::take_retry(context.m_state.m_retry_budgets[request.m_request->m_service]);
}

/// Goes on after an execution that failed or whose outcome is unknown.
void after_failed_execution(step_context& context, open_request& request, const std::string& cause)
{
    const std::string node = request.m_node;
    end_attempt(context, request);
    ++request.m_executions;
    request.m_last_cause = cause;
    if (!may_execute_again(context, request)) {
        finish_with_status(context, request, 502, "failed", {});
        return;
    }
    request.m_tried.insert(node);
    dispatch(context, request);
}

/// Tries waiting requests again for which `is_due` holds.
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
        request.m_tried.clear();
        dispatch(context, request);
    }
}

/// Whether a request may be executed once more at a node that was not tried yet. The owner of a
/// key has no replacement, so its answer is waited for.
bool may_be_served_elsewhere(const step_context& context, const open_request& request)
{
    const node_state& state = context.m_state;
    if (request.m_request->m_kind != routing::request_kind::idempotent ||
        request.m_request->m_key || request.m_executions + 1 >= request.m_max_attempts)
        return false;
    const auto budget = state.m_retry_budgets.find(request.m_request->m_service);
    if (budget == state.m_retry_budgets.end() || budget->second.m_tokens < 1.0)
        return false;
    return std::any_of(state.m_peers.begin(), state.m_peers.end(), [&](const auto& entry) {
        const auto& [node, peer] = entry;
        return node != request.m_node && request.m_tried.count(node) == 0 &&
               is_usable(state, peer, context.m_now) && peer.m_status.m_report.m_open &&
               peer.m_status.m_service == request.m_request->m_service;
    });
}

void note_report(step_context& context, const std::string& node, const routing::gate_report& report)
{
    const auto peer = context.m_state.m_peers.find(node);
    if (peer == context.m_state.m_peers.end())
        return;
    peer->second.m_status.m_report = report;
    peer->second.m_reported_at = context.m_now;
    peer->second.m_sent_since_status = 0;
}

void refuse_arrival(step_context& context, const caller_request& arrived, int status,
                    const std::string& reason, duration retry_after)
{
    log(context, log_level::info, "request_finished",
        {{"request", arrived.m_request.m_request_id},
         {"outcome", status == 404 ? "no_route" : "refused"},
         {"status", status},
         {"cause", reason},
         {"host", arrived.m_request.m_host}});
    emit(context, answer_caller{arrived.m_caller, status, reason, retry_after});
}

} // namespace

void on_caller_request(step_context& context, const caller_request& arrived)
{
    node_state& state = context.m_state;
    const auto configuration = state.m_known.m_configuration;
    if (!configuration) {
        refuse_arrival(context, arrived, 503, "no configuration known yet", default_retry_after);
        return;
    }
    const routing::route* route =
        routing::find_route(*configuration, arrived.m_request.m_host, arrived.m_request.m_target);
    if (route == nullptr) {
        refuse_arrival(context, arrived, 404, "no route", {});
        return;
    }
    const routing::weighted_service* service =
        routing::next_service(state.m_choices[route->m_name], route->m_services);
    if (service == nullptr) {
        refuse_arrival(context, arrived, 503, "route has no service", default_retry_after);
        return;
    }
    auto forwarded = std::make_shared<forwarded_request>(arrived.m_request);
    forwarded->m_service = service->m_service;
    forwarded->m_route = route->m_name;
    forwarded->m_priority = route->m_priority;
    forwarded->m_kind = route->m_kind;
    forwarded->m_caller_service =
        state.m_backend ? state.m_backend->m_announcement.m_service : state.m_options.m_service;

    open_request request;
    request.m_caller = arrived.m_caller;
    request.m_request = std::move(forwarded);
    request.m_max_attempts = std::max<std::uint32_t>(route->m_attempts, 1);
    request.m_target_latency = route->m_target_latency;
    request.m_arrived = context.m_now;
    const duration remaining =
        std::min(arrived.m_remaining.value_or(route->m_timeout), route->m_timeout);
    request.m_deadline = context.m_now + remaining;
    request.m_target = context.m_now + std::min(remaining, route->m_target_latency);
    auto& budget = state.m_retry_budgets[request.m_request->m_service];
    routing::record_request(budget, state.m_options.m_retry);
    const auto [place, added] = state.m_requests.emplace(arrived.m_caller, std::move(request));
    if (added)
        dispatch(context, place->second);
}

void on_caller_left(step_context& context, const caller_left& left)
{
    const auto found = context.m_state.m_requests.find(left.m_caller);
    if (found == context.m_state.m_requests.end())
        return;
    log_end(context, found->second, "caller_left", 0);
    cancel_attempt(context, found->second);
    context.m_state.m_requests.erase(found);
}

void on_answer(step_context& context, const answer_frame& frame)
{
    open_request* request = find_request(context, frame.m_id);
    if (request == nullptr)
        return;
    note_report(context, request->m_node, frame.m_report);
    if (frame.m_answer->m_status < 500) {
        ++request->m_executions;
        finish_with_answer(context, *request, frame.m_answer);
        return;
    }
    request->m_failed_answer = frame.m_answer;
    after_failed_execution(context, *request,
                           "server answered " + std::to_string(frame.m_answer->m_status));
}

void on_refusal(step_context& context, const refusal_frame& frame)
{
    open_request* request = find_request(context, frame.m_id);
    if (request == nullptr)
        return;
    const std::string node = request->m_node;
    note_report(context, node, frame.m_report);
    end_attempt(context, *request);
    request->m_last_cause = std::string(name_in(refusal_reason_names, frame.m_reason));
    ++request->m_refusals;
    const duration advised(frame.m_retry_after_us);
    if (advised > duration::zero() &&
        (request->m_advised_wait == duration::zero() || advised < request->m_advised_wait))
        request->m_advised_wait = advised;
    if (frame.m_reason != refusal_reason::unknown_request)
        request->m_tried.insert(node);
    const bool keyed = request->m_request->m_key.has_value();
    if (keyed && frame.m_reason == refusal_reason::not_owner) {
        if (frame.m_owner)
            note_owner(context, request->m_request->m_service, *frame.m_owner);
        if (frame.m_owner && request->m_refusals < max_refusals)
            dispatch(context, *request);
        else
            wait_for_owner(context, *request, "owner does not hold the range");
        return;
    }
    // The rejected request has arrived at a server, so a further one counts against the budget.
    const bool may_go_on =
        frame.m_reason != refusal_reason::rejected_by_server ||
        routing::take_retry(context.m_state.m_retry_budgets[request->m_request->m_service]);
    const bool only_owner_serves = keyed && frame.m_reason == refusal_reason::overloaded;
    if (request->m_refusals >= max_refusals || !may_go_on || only_owner_serves)
        finish_unserved(context, *request);
    else
        dispatch(context, *request);
}

void on_failure(step_context& context, const failure_frame& frame)
{
    open_request* request = find_request(context, frame.m_id);
    if (request == nullptr)
        return;
    note_report(context, request->m_node, frame.m_report);
    after_failed_execution(context, *request, frame.m_cause);
}

void on_peer_link_lost(step_context& context, const std::string& node)
{
    for (auto& [caller, request] : context.m_state.m_requests) {
        if (request.m_frame != 0 && request.m_node == node)
            request.m_link_lost_at = context.m_now;
    }
}

void on_peer_greeted(step_context& context, const std::string& node)
{
    const auto peer = context.m_state.m_peers.find(node);
    std::vector<std::uint64_t> failed;
    for (auto& [caller, request] : context.m_state.m_requests) {
        if (request.m_frame == 0 || request.m_node != node ||
            request.m_link_lost_at == time_point{})
            continue;
        if (peer->second.m_incarnation != request.m_node_incarnation) {
            failed.push_back(caller);
            continue;
        }
        request.m_link_lost_at = {};
        send_to_node(context, node, resume_frame{request.m_frame});
    }
    for (const std::uint64_t caller : failed)
        after_failed_execution(context, context.m_state.m_requests.at(caller), "node restarted");
    retry_waiting_requests(context);
}

void retry_waiting_requests(step_context& context)
{
    dispatch_waiting(context, [](const open_request& /*request*/) { return true; });
}

void check_open_requests(step_context& context)
{
    node_state& state = context.m_state;
    dispatch_waiting(context, [&](const open_request& request) {
        return context.m_now >= request.m_ask_owner_at;
    });
    std::vector<std::uint64_t> late;
    std::vector<std::uint64_t> lost;
    for (const auto& [caller, request] : state.m_requests) {
        if (context.m_now >= request.m_deadline) {
            late.push_back(caller);
            continue;
        }
        if (request.m_frame == 0)
            continue;
        const bool link_lost =
            request.m_link_lost_at != time_point{} &&
            context.m_now - request.m_link_lost_at > state.m_options.m_resume_window;
        const auto peer = state.m_peers.find(request.m_node);
        const bool silent = peer != state.m_peers.end() && peer->second.m_ping_open &&
                            context.m_now - peer->second.m_ping_sent > resend_after;
        if (link_lost || (silent && may_be_served_elsewhere(context, request)))
            lost.push_back(caller);
    }
    for (const std::uint64_t caller : late) {
        open_request& request = state.m_requests.at(caller);
        const bool may_have_run = request.m_frame != 0 || request.m_executions > 0;
        cancel_attempt(context, request);
        if (may_have_run)
            finish_with_status(context, request, 504, "timed_out", {});
        else
            finish_unserved(context, request);
    }
    for (const std::uint64_t caller : lost) {
        open_request& request = state.m_requests.at(caller);
        send_to_node(context, request.m_node, cancel_frame{request.m_frame});
        after_failed_execution(context, request, "node unreachable");
    }
}

} // namespace azureladder::sidecar
