#include "backend_executions_internal.hpp"
#include "execution_results.hpp"
#include "request_bodies.hpp"
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

/// Refuses the waiting requests of ingresses from which nothing has been heard for a while.
void refuse_requests_of_silent_origins(step_context& context)
{
    const node_state& state = context.m_state;
    std::vector<std::uint64_t> silent;
    const auto is_silent = [&](std::uint64_t id) {
        const auto execution = state.m_executions.find(id);
        if (execution == state.m_executions.end())
            return false;
        const auto link = state.m_accepted_links.find(execution->second.m_link);
        return link != state.m_accepted_links.end() &&
               context.m_now - link->second.m_last_frame_at > max_origin_silence;
    };
    for (const auto& waiting : state.m_admission_controller.m_waiting) {
        if (is_silent(waiting.m_id))
            silent.push_back(waiting.m_id);
    }
    for (const std::uint64_t id : executions_without_bodies(state)) {
        if (is_silent(id))
            silent.push_back(id);
    }
    for (const std::uint64_t id : silent)
        refuse_unstarted(context, id, refusal_reason::origin_silent, {});
}

/// Refuses the requests that hold a slot and whose bodies arrive too late for an execution.
void refuse_late_bodies(step_context& context)
{
    const node_state& state = context.m_state;
    const auto& options = state.m_options.m_admission_options;
    for (const std::uint64_t id : executions_without_bodies(state)) {
        const auto& waiting = state.m_admission_controller.m_running.at(id);
        const duration service = routing::expected_service_time(
            state.m_admission_controller, waiting.m_route, context.m_now, options);
        const auto execution = state.m_executions.find(id);
        if (execution != state.m_executions.end() &&
            context.m_now + service / 2 > execution->second.m_deadline)
            refuse_unstarted(context, id, refusal_reason::overloaded, options.m_min_retry_after);
    }
}

/// Stops an execution or a waiting request, without a result for its origin.
void stop_execution(step_context& context, backend_execution& execution)
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
        if (timed_out) {
            record_keyed_execution(context, execution);
            if (state.m_backend)
                record_unanswered_execution(context, *state.m_backend);
        }
    } else {
        remove_unstarted(state, execution.m_id, context.m_now);
    }
    set_body_place(state, execution, body_place::released);
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
    for (const auto& request : waiting)
        refuse_unstarted(context, request.m_id, reason, {});
    for (const std::uint64_t id : executions_without_bodies(context.m_state))
        refuse_unstarted(context, id, reason, {});
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
    if (!state.m_backend || state.m_backend->m_unreachable || !is_in_use(*state.m_backend) ||
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
        !is_in_use(*state.m_backend) || is_draining_or_evacuated(state) || state.m_stopping)
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
        state.m_backend && is_in_use(*state.m_backend) && !is_draining_or_evacuated(state);
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
        key_ranges::record_arrival(state.m_ownership.m_owner_load);
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
    execution.m_arrived_at = context.m_now;
    execution.m_time_to_target = duration(frame.m_target_us) - delay;
    execution.m_is_retry = frame.m_is_retry;
    routing::admission_request wanted{
        execution.m_id,
        request.m_route,
        routing::combined_priority(request.m_organisation_priority, request.m_priority),
        context.m_now + duration(frame.m_target_us) - delay,
        execution.m_deadline,
        frame.m_is_retry};
    wanted.m_is_call = request.m_is_call;
    wanted.m_accepts_late = frame.m_accepts_late;
    if (frame.m_body_bytes > 0 &&
        is_refused_for_its_body(state, wanted, frame.m_body_bytes, context.m_now)) {
        refuse(context, link, frame.m_id, request, refusal_reason::overloaded,
               body_retry_delay(state));
        return;
    }
    const auto decision = routing::admit(state.m_admission_controller, wanted, context.m_now,
                                         state.m_options.m_admission_options);
    if (decision.m_admission == routing::admission::refuse) {
        refuse(context, link, frame.m_id, request, refusal_reason::overloaded,
               decision.m_predicted_wait);
        return;
    }
    state.m_execution_of_frame[frame_key] = execution.m_id;
    auto& placed = state.m_executions[execution.m_id] = std::move(execution);
    add_separate_body(state, placed, frame.m_body_bytes);
    if (decision.m_admission == routing::admission::start) {
        begin_execution(context, placed);
        return;
    }
    const std::uint64_t id = placed.m_id;
    // Requests the body, now if link and memory allow it.
    if (lacks_body(placed))
        start_waiting(context);
    const auto waiting = state.m_executions.find(id);
    if (waiting == state.m_executions.end() ||
        waiting->second.m_body_place == body_place::in_transfer)
        return;
    json fields = execution_fields(waiting->second);
    fields["predicted_wait_ms"] = to_ms(decision.m_predicted_wait);
    fields["running"] = state.m_admission_controller.m_running.size();
    fields["waiting"] = state.m_admission_controller.m_waiting.size();
    if (decision.m_is_late)
        fields["late"] = true;
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
    // A body that was in transfer is lost with the earlier connection.
    on_body_link_lost(state, execution, context.m_now);
    if (lacks_body(execution))
        start_waiting(context);
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
    const bool is_full = is_reset_by_full_server(state, ended);
    const auto outcome =
        ended.m_result == execution_result::not_sent || is_full
            ? routing::execution_outcome::abandoned
            : (failed ? routing::execution_outcome::failed : routing::execution_outcome::succeeded);
    routing::finish_execution(state.m_admission_controller, ended.m_execution, elapsed, outcome,
                              context.m_now, state.m_options.m_admission_options);
    if (outcome == routing::execution_outcome::succeeded)
        record_keyed_execution(context, execution);
    json fields = execution_fields(execution);
    fields["result"] = std::string(find_enum_name(execution_result_names, ended.m_result));
    fields["elapsed_us"] = elapsed.count();
    if (ended.m_response)
        fields["status"] = ended.m_response->m_status;
    if (!ended.m_cause.empty())
        fields["cause"] = ended.m_cause;
    if (is_full)
        fields["server_full"] = true;
    log(context, log_level::info, "execution_ended", std::move(fields));
    set_body_place(state, execution, body_place::released);

    // The request may have been executed, so its origin gets a failure in any case.
    if (is_full)
        ++state.m_backend->m_resets_while_full;
    else
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
        if (execution.m_link != link || link == loopback_link ||
            execution.m_link_lost_at != time_point{})
            continue;
        execution.m_link_lost_at = context.m_now;
        on_body_link_lost(context.m_state, execution, context.m_now);
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
    check_backend_presence(context);
    update_limits(context);
    const bool evacuated =
        state.m_active_configuration.m_evacuated_zones.count(state.m_options.m_zone) != 0;
    const bool left =
        state.m_backend && state.m_backend->m_leaving &&
        context.m_now - state.m_backend->m_leaving_since > state.m_options.m_drain_start_window;
    if (evacuated || left)
        refuse_all_waiting(context, refusal_reason::closed);
    if (state.m_backend && !is_in_use(*state.m_backend))
        refuse_all_waiting(context, refusal_reason::no_server);
    refuse_requests_of_silent_origins(context);
    refuse_late_bodies(context);
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
