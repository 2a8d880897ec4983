#include "routing_internal.hpp"

#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

#include <algorithm>

/// Overload protection of the local backend server: announcements, queue, dispatch and concurrency
/// limit.
namespace azureladder::core {

namespace {

void begin_cold_start(routing_step& step, const char* reason)
{
    start_cold(step.m_state.m_routing.m_limit, step.m_now);
    write_event(step, log_level::info, "backend_cold_start",
                {{"backend", step.m_state.m_backend->m_server}, {"reason", reason}});
}

void log_limit_change(routing_step& step, limit_change change, const char* reason)
{
    if (change == limit_change::none)
        return;
    if (change == limit_change::cold) {
        write_event(step, log_level::info, "backend_cold_start",
                    {{"backend", step.m_state.m_backend ? step.m_state.m_backend->m_server : ""},
                     {"reason", "high latency after failures"}});
        return;
    }
    write_event(step, log_level::debug, "limit_changed",
                {{"limit", current_limit(step.m_state.m_routing.m_limit)}, {"reason", reason}});
}

std::size_t queue_capacity(const node_state& state)
{
    return state.m_options.m_queue_per_slot * std::max(state.m_backend->m_slots, 1U);
}

void shed(routing_step& step, request_token token)
{
    remove_request(step.m_state.m_routing.m_queue, token);
    write_event(step, log_level::debug, "request_shed",
                {{"request_id", find_request(step.m_state, token)->m_info.m_request_id},
                 {"reason", "the queue is full"}});
    handle_attempt_failure(step, token, error_code::overloaded, true);
}

void log_dispatch(routing_step& step, const open_request& request, attempt_number number,
                  const owned_slice& slice)
{
    write_event(step, log_level::info, "request_dispatched",
                {{"request_id", request.m_info.m_request_id},
                 {"service", request.m_info.m_service},
                 {"attempt", number},
                 {"space", slice.m_slice.m_space},
                 {"slice", slice.m_slice.m_index},
                 {"epoch", slice.m_epoch},
                 {"backend", step.m_state.m_backend->m_server},
                 {"key_hash", key_hash_text(request.m_info.m_key)},
                 {"idempotent", request.m_info.m_idempotent},
                 {"idempotency_key", request.m_info.m_idempotency_key}});
}

time_point dispatch_deadline(const routing_step& step, const open_request& request)
{
    const auto* service =
        records::find_service(step.m_state.m_configuration.m_document, request.m_info.m_service);
    if (service == nullptr || service->m_max_execution <= duration(0))
        return request.m_deadline;
    return std::min(request.m_deadline, step.m_now + service->m_max_execution);
}

} // namespace

void handle_announcement(routing_step& step, const backend_announced& input)
{
    auto& state = step.m_state;
    const bool is_silent =
        state.m_backend && step.m_now - state.m_backend_seen > announcement_timeout;
    const bool is_new = !state.m_backend || state.m_backend->m_start_id != input.m_info.m_start_id;
    const bool turned_cold = input.m_info.m_cold && (is_new || !state.m_backend->m_cold);
    state.m_backend = input.m_info;
    state.m_backend_seen = step.m_now;
    // The limit increases on replies only, so it could never recover from zero.
    set_maximum(state.m_routing.m_limit,
                std::max(1U, std::min(input.m_info.m_slots, input.m_info.m_connections)));
    if (is_new)
        begin_cold_start(step, "new start id");
    else if (turned_cold)
        begin_cold_start(step, "announced cold");
    else if (is_silent)
        begin_cold_start(step, "announced again after silence");
}

bool backend_ready(const node_state& state, time_point now)
{
    return state.m_backend && !state.m_backend->m_draining &&
           now - state.m_backend_seen <= announcement_timeout;
}

bool scope_in_service(const node_state& state)
{
    const auto& document = state.m_configuration.m_document;
    return records::zone_in_service(document, state.m_identity.m_zone) &&
           (!state.m_backend || records::server_in_service(document, state.m_backend->m_server));
}

std::optional<error_code> local_refusal(const routing_step& step, const open_request& request,
                                        bool is_new)
{
    const auto& state = step.m_state;
    if (!holds_lease(state, step.m_now))
        return error_code::not_serving;
    if (is_new && state.m_stopping)
        return error_code::stopping;
    if (!scope_in_service(state))
        return error_code::zone_out;
    if (is_new && !takes_new_work(state, step.m_now))
        return error_code::not_serving;
    if (is_divided(request) && !serving_epoch(state, request.m_slice, step.m_now))
        return error_code::no_owner;
    if (!backend_ready(state, step.m_now))
        return is_divided(request) ? error_code::no_owner : error_code::not_serving;
    if (state.m_backend->m_service != request.m_info.m_service)
        return is_divided(request) ? error_code::no_owner : error_code::no_upstream;
    return std::nullopt;
}

void enqueue(routing_step& step, request_token token)
{
    auto& queue = step.m_state.m_routing.m_queue;
    auto& request = *find_request(step.m_state, token);
    // The request is queued before another one is shed, because the shed one may be routed to this
    // node again and must then find the queue full.
    std::optional<request_token> victim;
    if (queue_length(queue) >= queue_capacity(step.m_state)) {
        victim = request_to_shed(queue, request.m_info.m_class);
        if (!victim) {
            handle_attempt_failure(step, token, error_code::overloaded, true);
            return;
        }
        remove_request(queue, *victim);
    }
    request.m_phase = request_phase::queued;
    push_request(queue, request.m_info.m_class, token);
    if (victim)
        shed(step, *victim);
}

void dispatch_now(routing_step& step, request_token token, bool hedge)
{
    auto& state = step.m_state;
    auto& request = *find_request(state, token);
    const auto number = ++request.m_last_attempt;
    open_attempt attempt;
    attempt.m_local = true;
    attempt.m_to = self(state);
    attempt.m_service = request.m_info.m_service;
    attempt.m_started = step.m_now;
    attempt.m_deadline = dispatch_deadline(step, request);
    attempt.m_hedge = hedge;
    if (is_divided(request))
        attempt.m_slice = {request.m_slice, *serving_epoch(state, request.m_slice, step.m_now)};
    state.m_routing.m_attempts.emplace(std::make_pair(token, number), attempt);
    ++state.m_routing.m_limit.m_in_flight;
    request.m_phase = request_phase::active;
    log_dispatch(step, request, number, attempt.m_slice);
    step.m_output.emplace_back(dispatch_to_backend{token, number, attempt.m_slice, lease_end(state),
                                                   attempt.m_deadline,
                                                   request.m_info.m_idempotent});
    if (!hedge)
        arm_hedge(step, request);
    arm(step, token);
}

void dispatch_queued(routing_step& step)
{
    auto& routing = step.m_state.m_routing;
    while (queue_length(routing.m_queue) > 0 && backend_ready(step.m_state, step.m_now) &&
           routing.m_limit.m_in_flight < current_limit(routing.m_limit)) {
        const auto token = pop_request(routing.m_queue);
        const auto& request = *find_request(step.m_state, token);
        if (const auto refusal = local_refusal(step, request, false))
            handle_attempt_failure(step, token, *refusal, true);
        else
            dispatch_now(step, token, false);
    }
}

void flush_unservable(routing_step& step)
{
    auto& state = step.m_state;
    for (const auto token : queued_tokens(state.m_routing.m_queue)) {
        const auto* request = find_request(state, token);
        // A failure handled earlier in this loop may have answered or moved the request.
        if (request == nullptr || request->m_phase != request_phase::queued)
            continue;
        const auto refusal = local_refusal(step, *request, false);
        if (!refusal)
            continue;
        remove_request(state.m_routing.m_queue, token);
        handle_attempt_failure(step, token, *refusal, true);
    }
}

void cancel_without_lease(routing_step& step)
{
    auto& state = step.m_state;
    if (holds_lease(state, step.m_now))
        return;
    for (auto& [id, attempt] : state.m_routing.m_attempts) {
        if (!attempt.m_local || attempt.m_cancelled || attempt.m_slice.m_slice.m_space.empty())
            continue;
        attempt.m_cancelled = true;
        attempt.m_deadline = std::min(attempt.m_deadline, step.m_now);
        step.m_output.emplace_back(cancel_attempt{id.first, id.second});
        if (const auto* request = find_request(state, id.first))
            write_event(step, log_level::info, "request_cancelled",
                        {{"request_id", request->m_info.m_request_id}, {"reason", "lease ended"}});
        arm(step, id.first);
    }
}

void detect_return_to_service(routing_step& step)
{
    auto& routing = step.m_state.m_routing;
    const bool in_service = scope_in_service(step.m_state);
    if (in_service && !routing.m_was_in_service && step.m_state.m_backend)
        begin_cold_start(step, "returned to service");
    routing.m_was_in_service = in_service;
}

void note_local_outcome(routing_step& step, const open_attempt& attempt,
                        const attempt_finished& input)
{
    auto& limit = step.m_state.m_routing.m_limit;
    --limit.m_in_flight;
    // Announcements arrive each second, so a server that becomes cold between two of them would get
    // full load for up to 1 s. Only an announcement ends the cold start, because replies arrive in
    // any order.
    if (input.m_backend_cold && step.m_state.m_backend && !step.m_state.m_backend->m_cold) {
        step.m_state.m_backend->m_cold = true;
        begin_cold_start(step, "reported in a reply");
    }
    switch (input.m_outcome) {
    case attempt_outcome::answered:
        // The capacity of a cold backend server is not announced, so the limit stays at one
        // request. Doubling it with each round of replies would overload the server long before it
        // is warm.
        if (step.m_state.m_backend && step.m_state.m_backend->m_cold)
            break;
        log_limit_change(step, note_success(limit, step.m_now - attempt.m_started, step.m_now),
                         "replies");
        break;
    case attempt_outcome::refused:
        log_limit_change(step, note_refusal(limit, attempt.m_started, step.m_now), "refusal");
        break;
    case attempt_outcome::not_sent:
    case attempt_outcome::lost:
        // A cancelled attempt has no reply by design, so it is not a failure.
        if (!attempt.m_cancelled)
            log_limit_change(step, note_failure(limit, attempt.m_started, step.m_now), "failure");
        break;
    case attempt_outcome::lease_ended:
        break;
    }
}

} // namespace azureladder::core
