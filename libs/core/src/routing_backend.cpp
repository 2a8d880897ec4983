#include "routing_internal.hpp"

#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

#include <algorithm>

/// Overload protection of the local backend server: announcements, queue, dispatch and concurrency
/// limit.
namespace azureladder::core {

namespace {

void begin_cold_start(routing_context& context, const char* reason)
{
    enter_slow_start(context.m_state.m_routing.m_limit, context.m_now);
    write_event(context, log_level::info, "backend_cold_start",
                {{"backend", context.m_state.m_backend->m_server}, {"reason", reason}});
}

void log_limit_change(routing_context& context, limit_change change, const char* reason)
{
    if (change == limit_change::none)
        return;
    if (change == limit_change::cold) {
        write_event(
            context, log_level::info, "backend_cold_start",
            {{"backend", context.m_state.m_backend ? context.m_state.m_backend->m_server : ""},
             {"reason", "high latency after failures"}});
        return;
    }
    write_event(context, log_level::debug, "limit_changed",
                {{"limit", current_limit(context.m_state.m_routing.m_limit)}, {"reason", reason}});
}

std::size_t queue_capacity(const node_state& state)
{
    return state.m_options.m_queue_per_slot * std::max(state.m_backend->m_slots, 1U);
}

void shed_request(routing_context& context, request_token token)
{
    remove_request(context.m_state.m_routing.m_queue, token);
    write_event(context, log_level::debug, "request_shed",
                {{"request_id", find_request(context.m_state, token)->m_info.m_request_id},
                 {"reason", "the queue is full"}});
    handle_attempt_failure(context, token, error_code::overloaded, true);
}

void log_dispatch(routing_context& context, const open_request& request, attempt_number number,
                  const owned_slice& slice)
{
    write_event(context, log_level::info, "request_dispatched",
                {{"request_id", request.m_info.m_request_id},
                 {"service", request.m_info.m_service},
                 {"attempt", number},
                 {"space", slice.m_slice.m_space},
                 {"slice", slice.m_slice.m_index},
                 {"epoch", slice.m_epoch},
                 {"backend", context.m_state.m_backend->m_server},
                 {"key_hash", key_hash_text(request.m_info.m_key)},
                 {"idempotent", request.m_info.m_idempotent},
                 {"idempotency_key", request.m_info.m_idempotency_key}});
}

time_point dispatch_deadline(const routing_context& context, const open_request& request)
{
    const auto* service =
        records::find_service(context.m_state.m_configuration.m_document, request.m_info.m_service);
    if (service == nullptr || service->m_max_execution <= duration(0))
        return request.m_deadline;
    return std::min(request.m_deadline, context.m_now + service->m_max_execution);
}

} // namespace

void handle_announcement(routing_context& context, const backend_announced& input)
{
    auto& state = context.m_state;
    const bool is_silent =
        state.m_backend && context.m_now - state.m_backend_announced_at > announcement_timeout;
    const bool is_new = !state.m_backend || state.m_backend->m_start_id != input.m_info.m_start_id;
    const bool became_cold = input.m_info.m_cold && (is_new || !state.m_backend->m_cold);
    state.m_backend = input.m_info;
    state.m_backend_announced_at = context.m_now;
    // The limit increases on replies only, so it could never recover from zero.
    set_maximum(state.m_routing.m_limit,
                std::max(1U, std::min(input.m_info.m_slots, input.m_info.m_connections)));
    if (is_new)
        begin_cold_start(context, "new start id");
    else if (became_cold)
        begin_cold_start(context, "announced cold");
    else if (is_silent)
        begin_cold_start(context, "announced again after silence");
}

bool backend_ready(const node_state& state, time_point now)
{
    return state.m_backend && !state.m_backend->m_draining &&
           now - state.m_backend_announced_at <= announcement_timeout;
}

bool zone_and_server_in_service(const node_state& state)
{
    const auto& document = state.m_configuration.m_document;
    return records::zone_in_service(document, state.m_identity.m_zone) &&
           (!state.m_backend || records::server_in_service(document, state.m_backend->m_server));
}

std::optional<error_code> local_refusal_reason(const routing_context& context,
                                               const open_request& request, bool is_new)
{
    const auto& state = context.m_state;
    if (!holds_lease(state, context.m_now))
        return error_code::not_serving;
    if (is_new && state.m_stopping)
        return error_code::stopping;
    if (!zone_and_server_in_service(state))
        return error_code::zone_out;
    if (is_new && !accepts_new_work(state, context.m_now))
        return error_code::not_serving;
    if (is_divided(request) && !serving_epoch(state, request.m_slice, context.m_now))
        return error_code::no_owner;
    if (!backend_ready(state, context.m_now))
        return is_divided(request) ? error_code::no_owner : error_code::not_serving;
    if (state.m_backend->m_service != request.m_info.m_service)
        return is_divided(request) ? error_code::no_owner : error_code::no_upstream;
    return std::nullopt;
}

void enqueue(routing_context& context, request_token token)
{
    auto& queue = context.m_state.m_routing.m_queue;
    auto& request = *find_request(context.m_state, token);
    // The request is queued before another one is shed, because the shed one may be routed to this
    // node again and must then find the queue full.
    std::optional<request_token> victim;
    if (queue_length(queue) >= queue_capacity(context.m_state)) {
        victim = request_to_shed(queue, request.m_info.m_class);
        if (!victim) {
            handle_attempt_failure(context, token, error_code::overloaded, true);
            return;
        }
        remove_request(queue, *victim);
    }
    request.m_phase = request_phase::queued;
    push_request(queue, request.m_info.m_class, token);
    if (victim)
        shed_request(context, *victim);
}

void dispatch_locally(routing_context& context, request_token token, bool hedge)
{
    auto& state = context.m_state;
    auto& request = *find_request(state, token);
    const auto number = ++request.m_last_attempt;
    open_attempt attempt;
    attempt.m_is_local = true;
    attempt.m_to = self(state);
    attempt.m_service = request.m_info.m_service;
    attempt.m_started = context.m_now;
    attempt.m_deadline = dispatch_deadline(context, request);
    attempt.m_is_hedge = hedge;
    if (is_divided(request))
        attempt.m_slice = {request.m_slice, *serving_epoch(state, request.m_slice, context.m_now)};
    state.m_routing.m_attempts.emplace(std::make_pair(token, number), attempt);
    ++state.m_routing.m_limit.m_in_flight;
    request.m_phase = request_phase::active;
    log_dispatch(context, request, number, attempt.m_slice);
    context.m_output.emplace_back(dispatch_to_backend{token, number, attempt.m_slice,
                                                      lease_end(state), attempt.m_deadline,
                                                      request.m_info.m_idempotent});
    if (!hedge)
        schedule_hedge(context, request);
    schedule_timer(context, token);
}

void dispatch_queued(routing_context& context)
{
    auto& routing = context.m_state.m_routing;
    while (queue_length(routing.m_queue) > 0 && backend_ready(context.m_state, context.m_now) &&
           routing.m_limit.m_in_flight < current_limit(routing.m_limit)) {
        const auto token = pop_request(routing.m_queue);
        const auto& request = *find_request(context.m_state, token);
        if (const auto refusal = local_refusal_reason(context, request, false))
            handle_attempt_failure(context, token, *refusal, true);
        else
            dispatch_locally(context, token, false);
    }
}

void fail_unservable_requests(routing_context& context)
{
    auto& state = context.m_state;
    for (const auto token : queued_tokens(state.m_routing.m_queue)) {
        const auto* request = find_request(state, token);
        // A failure handled earlier in this loop may have answered or moved the request.
        if (request == nullptr || request->m_phase != request_phase::queued)
            continue;
        const auto refusal = local_refusal_reason(context, *request, false);
        if (!refusal)
            continue;
        remove_request(state.m_routing.m_queue, token);
        handle_attempt_failure(context, token, *refusal, true);
    }
}

void cancel_attempts_without_lease(routing_context& context)
{
    auto& state = context.m_state;
    if (holds_lease(state, context.m_now))
        return;
    for (auto& [id, attempt] : state.m_routing.m_attempts) {
        if (!attempt.m_is_local || attempt.m_cancelled || attempt.m_slice.m_slice.m_space.empty())
            continue;
        attempt.m_cancelled = true;
        attempt.m_deadline = std::min(attempt.m_deadline, context.m_now);
        context.m_output.emplace_back(cancel_attempt{id.first, id.second});
        if (const auto* request = find_request(state, id.first))
            write_event(context, log_level::info, "request_cancelled",
                        {{"request_id", request->m_info.m_request_id}, {"reason", "lease ended"}});
        schedule_timer(context, id.first);
    }
}

void detect_return_to_service(routing_context& context)
{
    auto& routing = context.m_state.m_routing;
    const bool in_service = zone_and_server_in_service(context.m_state);
    if (in_service && !routing.m_was_in_service && context.m_state.m_backend)
        begin_cold_start(context, "returned to service");
    routing.m_was_in_service = in_service;
}

void record_local_outcome(routing_context& context, const open_attempt& attempt,
                          const attempt_finished& input)
{
    auto& limit = context.m_state.m_routing.m_limit;
    --limit.m_in_flight;
    // Announcements arrive each second, so a server that becomes cold between two of them would get
    // full load for up to 1 s. Only an announcement ends the cold start, because replies arrive in
    // any order.
    if (input.m_backend_cold && context.m_state.m_backend && !context.m_state.m_backend->m_cold) {
        context.m_state.m_backend->m_cold = true;
        begin_cold_start(context, "reported in a reply");
    }
    switch (input.m_outcome) {
    case attempt_outcome::answered:
        // The capacity of a cold backend server is not announced, so the limit stays at one
        // request. Doubling it with each round of replies would overload the server long before it
        // is warm.
        if (context.m_state.m_backend && context.m_state.m_backend->m_cold)
            break;
        log_limit_change(context,
                         record_success(limit, context.m_now - attempt.m_started, context.m_now),
                         "replies");
        break;
    case attempt_outcome::refused:
        log_limit_change(context, record_refusal(limit, attempt.m_started, context.m_now),
                         "refusal");
        break;
    case attempt_outcome::not_sent:
    case attempt_outcome::lost:
        // A cancelled attempt has no reply by design, so it is not a failure.
        if (!attempt.m_cancelled)
            log_limit_change(context, record_failure(limit, attempt.m_started, context.m_now),
                             "failure");
        break;
    case attempt_outcome::lease_ended:
        break;
    }
}

} // namespace azureladder::core
