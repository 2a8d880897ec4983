#include "execution_results.hpp"
#include "step_context.hpp"

#include <azureladder/sidecar/step.hpp>

#include <algorithm>
#include <utility>

namespace azureladder::sidecar {

namespace {

/// Time for which results of finished executions are retained at least, so that their origin can
/// resume them. They are retained until the deadline in any case, because an origin takes an
/// unknown request for one that was not executed.
constexpr duration result_retention = seconds(10);

/// Largest difference between the deadlines at the origin and here: the one-way delay between two
/// zones.
constexpr duration deadline_tolerance = milliseconds(30);

/// Delay on the way from its ingress above which a request is not executed. Its caller may have
/// disconnected, and the cancel has the same delay; another node can execute the request sooner.
constexpr duration max_request_delay = milliseconds(400);

/// Silence of an ingress after which its waiting requests are not started: it can't tell that their
/// callers have disconnected. It pings every 250 ms while it has requests here.
constexpr duration max_origin_silence = milliseconds(800);

json execution_fields(const backend_execution& execution)
{
    return {{"request", execution.m_request->m_request_id},
            {"origin", execution.m_origin},
            {"route", execution.m_request->m_route}};
}

/// Owner of a key according to the range table, unless it is this node.
std::optional<owner_hint> other_owner(const node_state& state, const std::string& service,
                                      std::uint32_t key)
{
    const auto table = state.m_tables.find(service);
    if (table == state.m_tables.end())
        return std::nullopt;
    const auto* entry = key_ranges::find_range(table->second.m_table, key);
    if (entry == nullptr || entry->m_owner == state.m_options.m_node)
        return std::nullopt;
    return owner_hint{entry->m_from, entry->m_to, entry->m_owner, entry->m_fencing_token};
}

void refuse(step_context& context, std::uint64_t link, std::uint64_t frame,
            const forwarded_request& request, refusal_reason reason, duration retry_after)
{
    log(context, log_level::info, "request_refused",
        {{"request", request.m_request_id},
         {"reason", std::string(find_enum_name(refusal_reason_names, reason))},
         {"running", context.m_state.m_admission_controller.m_running.size()},
         {"waiting", context.m_state.m_admission_controller.m_waiting.size()},
         {"limit", context.m_state.m_admission_controller.m_limit},
         {"retry_after_ms", to_ms(retry_after)}});
    refusal_frame refusal{frame, reason, retry_after.count(), own_load_report(context), {}};
    if (reason == refusal_reason::not_owner && request.m_key)
        refusal.m_owner = other_owner(context.m_state, request.m_service, *request.m_key);
    send_on_link(context, link, std::move(refusal));
}

void begin_execution(step_context& context, backend_execution& execution)
{
    const local_backend& backend = *context.m_state.m_backend;
    execution.m_started = true;
    execution.m_started_at = context.m_now;
    if (!execution.m_request->m_is_call)
        routing::record_execution(context.m_state.m_nested_calls);
    json fields = execution_fields(execution);
    fields["backend"] = backend.m_announcement.m_id;
    fields["running"] = context.m_state.m_admission_controller.m_running.size();
    log(context, log_level::info, "execution_started", std::move(fields));
    emit(context,
         start_execution{execution.m_id, execution.m_request, backend.m_announcement.m_id,
                         backend.m_announcement.m_address, execution.m_deadline - context.m_now});
}

void refuse_waiting(step_context& context, std::uint64_t id, refusal_reason reason,
                    duration retry_after)
{
    const auto found = context.m_state.m_executions.find(id);
    if (found == context.m_state.m_executions.end())
        return;
    const backend_execution execution = found->second;
    remove_execution(context, id);
    if (execution.m_link_lost_at == time_point{})
        refuse(context, execution.m_link, execution.m_frame, *execution.m_request, reason,
               retry_after);
}

} // namespace

void start_waiting(step_context& context)
{
    node_state& state = context.m_state;
    const auto& options = state.m_options.m_admission_options;
    for (const auto& request : routing::remove_unanswerable_requests(state.m_admission_controller,
                                                                     context.m_now, options))
        refuse_waiting(context, request.m_id, refusal_reason::overloaded,
                       options.m_min_retry_after);
    if (!state.m_backend)
        return;
    for (const auto& request :
         routing::start_waiting_requests(state.m_admission_controller, context.m_now, options)) {
        const auto found = state.m_executions.find(request.m_id);
        if (found == state.m_executions.end())
            continue;
        const auto& key = found->second.m_request->m_key;
        if (key && !local_keyed_service(state).empty() &&
            !has_key_lease(state, *key, context.m_now)) {
            routing::finish_execution(state.m_admission_controller, request.m_id, {},
                                      routing::execution_outcome::abandoned, context.m_now,
                                      options);
            refuse_waiting(context, request.m_id, refusal_reason::not_owner, {});
            continue;
        }
        begin_execution(context, found->second);
    }
}

namespace {

/// Refuses the waiting requests of ingresses from which nothing has been heard for a while.
void refuse_requests_of_silent_origins(step_context& context)
{
    const node_state& state = context.m_state;
    std::vector<std::uint64_t> silent;
    for (const auto& waiting : state.m_admission_controller.m_waiting) {
        const auto execution = state.m_executions.find(waiting.m_id);
        if (execution == state.m_executions.end())
            continue;
        const auto link = state.m_accepted_links.find(execution->second.m_link);
        if (link != state.m_accepted_links.end() &&
            context.m_now - link->second.m_last_frame_at > max_origin_silence)
            silent.push_back(waiting.m_id);
    }
    for (const std::uint64_t id : silent) {
        routing::remove_waiting_request(context.m_state.m_admission_controller, id);
        refuse_waiting(context, id, refusal_reason::origin_silent, {});
    }
}

/// Stops an execution or a waiting request, without a result for its origin.
void stop_execution(step_context& context, const backend_execution& execution)
{
    node_state& state = context.m_state;
    if (execution.m_started) {
        emit(context, cancel_execution{execution.m_id});
        // An execution that reached its deadline counts as failed, one cancelled by its caller does
        // not.
        const bool timed_out = context.m_now + deadline_tolerance >= execution.m_deadline;
        routing::finish_execution(state.m_admission_controller, execution.m_id, {},
                                  timed_out ? routing::execution_outcome::failed
                                            : routing::execution_outcome::abandoned,
                                  context.m_now, state.m_options.m_admission_options);
        if (timed_out && state.m_backend)
            record_unanswered_execution(context, *state.m_backend);
    } else {
        routing::remove_waiting_request(state.m_admission_controller, execution.m_id);
    }
    json fields = execution_fields(execution);
    fields["origin_lost"] = execution.m_link_lost_at != time_point{};
    fields["started"] = execution.m_started;
    if (execution.m_started)
        fields["elapsed_us"] = (context.m_now - execution.m_started_at).count();
    log(context, log_level::info, "request_cancelled", std::move(fields));
}

/// Stops an execution whose origin has not returned after the loss of its connection. The origin
/// may still return: a started execution has failed then, since an unknown one counts as not
/// executed.
void stop_orphaned_execution(step_context& context, backend_execution& execution)
{
    stop_execution(context, execution);
    if (execution.m_started)
        send_and_retain_result(
            context, execution,
            failure_frame{execution.m_frame, "ingress was unreachable", own_load_report(context)});
    else
        remove_execution(context, execution.m_id);
}

void refuse_all_waiting(step_context& context, refusal_reason reason)
{
    const auto waiting = context.m_state.m_admission_controller.m_waiting;
    context.m_state.m_admission_controller.m_waiting.clear();
    for (const auto& request : waiting)
        refuse_waiting(context, request.m_id, reason, {});
}

/// Request rate limit of the backend server during its cold start; 0 when it is not cold.
double cold_rate(const node_state& state, time_point now)
{
    if (!state.m_backend)
        return 0.0;
    const auto* service = find_service(state, state.m_backend->m_announcement.m_service);
    if (service == nullptr || service->m_cold_rate_per_s <= 0.0)
        return 0.0;
    const bool cold =
        now < state.m_backend->m_cold_until || state.m_cold_until_announced != time_point{};
    return cold ? service->m_cold_rate_per_s : 0.0;
}

} // namespace

void update_limits(step_context& context)
{
    node_state& state = context.m_state;
    state.m_admission_controller.m_limit =
        state.m_backend ? state.m_backend->m_announcement.m_slots : 0;
    if (state.m_backend &&
        state.m_backend->m_unanswered_executions >= state.m_options.m_unanswered_limit)
        state.m_admission_controller.m_limit =
            std::min<std::uint32_t>(state.m_admission_controller.m_limit, 1);
    state.m_admission_controller.m_cold_rate_per_s = cold_rate(state, context.m_now);
}

namespace {

refusal_reason unavailable_reason(const node_state& state, const forwarded_request& request)
{
    if (!state.m_backend || state.m_backend->m_unreachable || state.m_backend->m_silent ||
        state.m_backend->m_announcement.m_service != request.m_service)
        return refusal_reason::no_server;
    return refusal_reason::closed;
}

/// Time for which a stopping node still accepts requests: its peers may have sent them before they
/// received its status.
constexpr duration stop_propagation_time = milliseconds(1000);

bool is_draining_or_evacuated(const node_state& state)
{
    return state.m_active_configuration.m_evacuated_zones.count(state.m_options.m_zone) != 0 ||
           state.m_backend->m_leaving;
}

} // namespace

bool accepts_requests(const node_state& state, time_point now)
{
    // Without a configuration the rate limit of a cold server is unknown.
    if (!state.m_backend || !state.m_active_configuration.m_configuration ||
        state.m_backend->m_silent || is_draining_or_evacuated(state) || state.m_stopping)
        return false;
    if (state.m_backend->m_unreachable)
        return now >= state.m_backend->m_next_probe_at;
    return state.m_backend->m_unanswered_executions < state.m_options.m_unanswered_limit ||
           now >= state.m_backend->m_next_probe_at;
}

void on_request(step_context& context, std::uint64_t link, const std::string& origin,
                const request_frame& frame)
{
    node_state& state = context.m_state;
    const std::pair<std::string, std::uint64_t> frame_key{origin, frame.m_id};
    if (state.m_requests_to_drop.count(frame_key) != 0 ||
        state.m_execution_of_frame.count(frame_key) != 0)
        return;
    const duration delay = record_frame_delay(context, link, frame.m_sent_us);
    const forwarded_request& request = *frame.m_request;
    if (delay > max_request_delay) {
        refuse(context, link, frame.m_id, request, refusal_reason::arrived_late, {});
        return;
    }
    const bool may_accept_while_stopping =
        state.m_stopping && context.m_now - state.m_stop_requested_at < stop_propagation_time &&
        state.m_backend && !state.m_backend->m_silent && !is_draining_or_evacuated(state);
    if (!(accepts_requests(state, context.m_now) || may_accept_while_stopping) ||
        !state.m_backend || state.m_backend->m_announcement.m_service != request.m_service) {
        // A node that releases its ranges names the new owner, so that the origin can send the
        // request there.
        const bool moved =
            request.m_key && other_owner(state, request.m_service, *request.m_key).has_value();
        refuse(context, link, frame.m_id, request,
               moved ? refusal_reason::not_owner : unavailable_reason(state, request), {});
        return;
    }
    if (request.m_key && !local_keyed_service(state).empty()) {
        key_ranges::record_key_request(state.m_ownership.m_load, *request.m_key);
        state.m_ownership.m_arrival_count += 1.0;
        if (!has_key_lease(state, *request.m_key, context.m_now)) {
            refuse(context, link, frame.m_id, request, refusal_reason::not_owner, {});
            return;
        }
    }
    routing::record_origin(state.m_request_origins, routing::route_hash(request.m_route),
                           request.m_caller_service, state.m_options.m_call_detection);
    update_limits(context);
    backend_execution execution;
    execution.m_id = state.m_next_execution++;
    execution.m_link = link;
    execution.m_origin = origin;
    const auto accepted = state.m_accepted_links.find(link);
    if (accepted != state.m_accepted_links.end())
        execution.m_origin_incarnation = accepted->second.m_incarnation;
    execution.m_frame = frame.m_id;
    execution.m_request = frame.m_request;
    execution.m_deadline = context.m_now + duration(frame.m_remaining_us) - delay;
    routing::admission_request wanted{
        execution.m_id,
        request.m_route,
        routing::combined_priority(request.m_organisation_priority, request.m_priority),
        context.m_now + duration(frame.m_target_us) - delay,
        execution.m_deadline,
        frame.m_is_retry};
    wanted.m_is_call = request.m_is_call;
    const auto decision = routing::admit(state.m_admission_controller, wanted, context.m_now,
                                         state.m_options.m_admission_options);
    if (decision.m_admission == routing::admission::refuse) {
        refuse(context, link, frame.m_id, request, refusal_reason::overloaded,
               decision.m_predicted_wait);
        return;
    }
    state.m_execution_of_frame[frame_key] = execution.m_id;
    auto& placed = state.m_executions[execution.m_id] = std::move(execution);
    if (decision.m_admission == routing::admission::start) {
        begin_execution(context, placed);
        return;
    }
    json fields = execution_fields(placed);
    fields["predicted_wait_ms"] = to_ms(decision.m_predicted_wait);
    fields["running"] = state.m_admission_controller.m_running.size();
    fields["waiting"] = state.m_admission_controller.m_waiting.size();
    log(context, log_level::info, "request_waits", std::move(fields));
}

void on_cancel(step_context& context, const std::string& origin, std::uint64_t frame)
{
    node_state& state = context.m_state;
    const auto found = state.m_execution_of_frame.find({origin, frame});
    if (found == state.m_execution_of_frame.end()) {
        state.m_requests_to_drop[{origin, frame}] = context.m_now;
        return;
    }
    const std::uint64_t id = found->second;
    if (state.m_executions.at(id).m_result)
        return;
    stop_execution(context, state.m_executions.at(id));
    remove_execution(context, id);
    start_waiting(context);
}

void on_resume(step_context& context, std::uint64_t link, const std::string& origin,
               std::uint64_t frame)
{
    node_state& state = context.m_state;
    const auto found = state.m_execution_of_frame.find({origin, frame});
    if (found == state.m_execution_of_frame.end()) {
        state.m_requests_to_drop[{origin, frame}] = context.m_now;
        send_on_link(
            context, link,
            refusal_frame{frame, refusal_reason::unknown_request, 0, own_load_report(context), {}});
        return;
    }
    backend_execution& execution = state.m_executions.at(found->second);
    execution.m_link = link;
    execution.m_link_lost_at = {};
    if (execution.m_result)
        send_on_link(context, link, *execution.m_result);
}

void on_execution_ended(step_context& context, const execution_ended& ended)
{
    node_state& state = context.m_state;
    const auto found = state.m_executions.find(ended.m_execution);
    if (found == state.m_executions.end() || found->second.m_result)
        return;
    backend_execution& execution = found->second;
    const duration elapsed = context.m_now - execution.m_started_at;
    const bool answered = ended.m_result == execution_result::answered;
    const bool failed = !answered || ended.m_response->m_status >= 500;
    const auto outcome =
        ended.m_result == execution_result::not_sent
            ? routing::execution_outcome::abandoned
            : (failed ? routing::execution_outcome::failed : routing::execution_outcome::succeeded);
    routing::finish_execution(state.m_admission_controller, ended.m_execution, elapsed, outcome,
                              context.m_now, state.m_options.m_admission_options);
    json fields = execution_fields(execution);
    fields["result"] = std::string(find_enum_name(execution_result_names, ended.m_result));
    fields["elapsed_us"] = elapsed.count();
    if (ended.m_response)
        fields["status"] = ended.m_response->m_status;
    if (!ended.m_cause.empty())
        fields["cause"] = ended.m_cause;
    log(context, log_level::info, "execution_ended", std::move(fields));

    update_backend_health(context, ended);
    const bool own = execution.m_link == loopback_link;
    send_execution_result(context, execution, ended);
    // A loopback frame cannot be lost, so its result need not be retained.
    if (own)
        remove_execution(context, ended.m_execution);
    if (ended.m_backend_replaced)
        on_backend_replaced(context);
    start_waiting(context);
}

void on_backend_replaced(step_context& context)
{
    node_state& state = context.m_state;
    if (!state.m_backend)
        return;
    log(context, log_level::warning, "backend_replaced",
        {{"backend", state.m_backend->m_announcement.m_id}});
    state.m_backend.reset();
    clear_range_leases(context);
    refuse_all_waiting(context, refusal_reason::no_server);
    broadcast_status(context);
}

void on_origin_link_lost(step_context& context, std::uint64_t link)
{
    for (auto& [id, execution] : context.m_state.m_executions) {
        if (execution.m_link == link && link != loopback_link &&
            execution.m_link_lost_at == time_point{})
            execution.m_link_lost_at = context.m_now;
    }
}

void on_origin_connected(step_context& context, const std::string& origin,
                         std::uint64_t incarnation)
{
    for (auto& [id, execution] : context.m_state.m_executions) {
        if (execution.m_started && execution.m_origin == origin &&
            execution.m_origin_incarnation == incarnation &&
            execution.m_link_lost_at != time_point{})
            execution.m_link_lost_at = context.m_now;
    }
}

void check_backend_executions(step_context& context)
{
    node_state& state = context.m_state;
    check_announcement_age(context);
    update_limits(context);
    const bool evacuated =
        state.m_active_configuration.m_evacuated_zones.count(state.m_options.m_zone) != 0;
    const bool left =
        state.m_backend && state.m_backend->m_leaving &&
        context.m_now - state.m_backend->m_leaving_since > state.m_options.m_drain_start_window;
    if (evacuated || left)
        refuse_all_waiting(context, refusal_reason::closed);
    if (state.m_backend && state.m_backend->m_silent)
        refuse_all_waiting(context, refusal_reason::no_server);
    refuse_requests_of_silent_origins(context);
    start_waiting(context);
    std::vector<std::uint64_t> ended;
    std::vector<std::uint64_t> orphaned;
    for (const auto& [id, execution] : state.m_executions) {
        if (execution.m_result) {
            if (context.m_now - execution.m_finished_at > result_retention &&
                context.m_now > execution.m_deadline + deadline_tolerance)
                ended.push_back(id);
        } else if (execution.m_link_lost_at != time_point{} &&
                   context.m_now - execution.m_link_lost_at > state.m_options.m_resume_window) {
            orphaned.push_back(id);
        }
    }
    for (const std::uint64_t id : ended)
        remove_execution(context, id);
    for (const std::uint64_t id : orphaned)
        stop_orphaned_execution(context, state.m_executions.at(id));
    if (!orphaned.empty())
        start_waiting(context);
    for (auto it = state.m_requests_to_drop.begin(); it != state.m_requests_to_drop.end();)
        it = context.m_now - it->second > result_retention ? state.m_requests_to_drop.erase(it)
                                                           : std::next(it);
}

} // namespace azureladder::sidecar
