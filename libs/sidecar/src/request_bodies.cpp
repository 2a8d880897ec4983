#include "request_bodies.hpp"

#include "backend_executions_internal.hpp"

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// Bytes that a body counts in the totals at a place.
std::size_t missing_bytes(const backend_execution& execution)
{
    return lacks_body(execution) ? execution.m_body_bytes : 0;
}

std::size_t memory_bytes(const backend_execution& execution)
{
    const bool counts = execution.m_body_place == body_place::in_transfer ||
                        execution.m_body_place == body_place::here;
    return counts ? execution.m_body_bytes : 0;
}

routing::body_load load_of(const node_state& state, time_point now)
{
    routing::body_load load;
    load.m_memory = state.m_separate_bodies.m_memory_bytes;
    for (const std::uint64_t id : state.m_separate_bodies.m_in_transfer) {
        const backend_execution& execution = state.m_executions.at(id);
        if (now - execution.m_body_requested_at <=
            state.m_options.m_body_transfers.m_slow_transfer_after)
            load.m_in_transfer += execution.m_body_bytes;
    }
    return load;
}

void request_body(step_context& context, backend_execution& execution)
{
    set_body_place(context.m_state, execution, body_place::in_transfer);
    execution.m_body_requested_at = context.m_now;
    json fields = execution_fields(execution);
    fields["bytes"] = execution.m_body_bytes;
    fields["has_slot"] =
        context.m_state.m_admission_controller.m_running.count(execution.m_id) != 0;
    fields["in_transfer"] = context.m_state.m_separate_bodies.m_in_transfer.size();
    log(context, log_level::info, "body_requested", std::move(fields));
    send_on_link(context, execution.m_link, body_request_frame{execution.m_frame});
}

} // namespace

void set_body_place(node_state& state, backend_execution& execution, body_place place)
{
    if (execution.m_body_place == body_place::in_request || execution.m_body_place == place)
        return;
    separate_bodies& bodies = state.m_separate_bodies;
    bodies.m_missing_bytes -= missing_bytes(execution);
    bodies.m_memory_bytes -= memory_bytes(execution);
    if (execution.m_body_place == body_place::at_ingress)
        --bodies.m_unrequested;
    if (execution.m_body_place == body_place::in_transfer) {
        auto& ids = bodies.m_in_transfer;
        ids.erase(std::remove(ids.begin(), ids.end(), execution.m_id), ids.end());
    }
    execution.m_body_place = place;
    bodies.m_missing_bytes += missing_bytes(execution);
    bodies.m_memory_bytes += memory_bytes(execution);
    if (place == body_place::at_ingress)
        ++bodies.m_unrequested;
    if (place == body_place::in_transfer)
        bodies.m_in_transfer.push_back(execution.m_id);
    if (place == body_place::released)
        execution.m_body.reset();
}

void add_separate_body(node_state& state, backend_execution& execution, std::size_t bytes)
{
    if (bytes == 0)
        return;
    execution.m_body_bytes = bytes;
    execution.m_body_place = body_place::released;
    set_body_place(state, execution, body_place::at_ingress);
}

bool lacks_body(const backend_execution& execution)
{
    return execution.m_body_place == body_place::at_ingress ||
           execution.m_body_place == body_place::in_transfer;
}

bool request_bodies(step_context& context)
{
    node_state& state = context.m_state;
    if (state.m_separate_bodies.m_unrequested == 0)
        return false;
    const auto& options = state.m_options.m_body_transfers;
    auto& controller = state.m_admission_controller;
    // Without a route, the mean over all routes.
    const duration service_time = routing::expected_service_time(
        controller, {}, context.m_now, state.m_options.m_admission_options);
    routing::body_load load = load_of(state, context.m_now);
    // Returns false when no further body may be requested. Later bodies don't overtake one that
    // does not fit, however long it is.
    const auto request_next = [&](std::uint64_t id, std::size_t position, bool has_slot) {
        const auto found = state.m_executions.find(id);
        if (found == state.m_executions.end() ||
            found->second.m_body_place != body_place::at_ingress ||
            found->second.m_link_lost_at != time_point{})
            return true;
        backend_execution& execution = found->second;
        const std::size_t bytes = execution.m_body_bytes;
        if (!has_slot && position >= routing::body_prefetch_count(load, bytes, controller.m_limit,
                                                                  service_time, options))
            return false;
        if (!routing::may_request_body(load, bytes, options))
            return false;
        load.m_in_transfer += bytes;
        load.m_memory += bytes;
        request_body(context, execution);
        return true;
    };
    if (controller.m_awaited_bodies > 0) {
        for (const auto& [id, running] : controller.m_running) {
            if (running.m_awaits_body && !request_next(id, 0, true))
                return false;
        }
    }
    const std::size_t running = controller.m_running.size();
    const std::size_t free_slots = controller.m_limit > running ? controller.m_limit - running : 0;
    const std::size_t count =
        std::min(controller.m_waiting.size(), 2 * std::size_t{controller.m_limit});
    bool is_any_released = false;
    for (std::size_t i = 0; i < count; ++i) {
        if (!controller.m_waiting[i].m_is_held_back)
            continue;
        const std::uint64_t id = controller.m_waiting[i].m_id;
        if (!request_next(id, i < free_slots ? 0 : i - free_slots, i < free_slots))
            break;
        if (state.m_executions.at(id).m_body_place == body_place::in_transfer) {
            routing::set_held_back(controller, id, false, context.m_now);
            is_any_released = true;
        }
    }
    return is_any_released;
}

bool is_refused_for_its_body(const node_state& state, routing::admission_request& request,
                             std::size_t body_bytes, time_point now)
{
    const auto& admission = state.m_options.m_admission_options;
    const auto& transfers = state.m_options.m_body_transfers;
    if (routing::is_body_backlog_too_long(
            request, state.m_separate_bodies.m_missing_bytes, body_bytes,
            routing::expected_service_time(state.m_admission_controller, request.m_route, now,
                                           admission),
            now, admission, transfers))
        return true;
    const duration own_transfer = routing::body_transfer_time(body_bytes, transfers);
    request.m_awaits_body = true;
    request.m_is_held_back = true;
    request.m_target -= own_transfer;
    request.m_deadline -= own_transfer;
    return false;
}

duration body_retry_delay(const node_state& state)
{
    const auto& options = state.m_options.m_admission_options;
    return std::clamp(routing::body_transfer_time(state.m_separate_bodies.m_missing_bytes,
                                                  state.m_options.m_body_transfers),
                      options.m_min_retry_after, options.m_max_retry_after);
}

forwarded_request_ptr take_complete_request(backend_execution& execution)
{
    if (!execution.m_body)
        return execution.m_request;
    auto complete = std::make_shared<forwarded_request>(*execution.m_request);
    complete->m_body = *execution.m_body;
    execution.m_body.reset();
    return complete;
}

std::vector<std::uint64_t> executions_without_bodies(const node_state& state)
{
    std::vector<std::uint64_t> result;
    if (state.m_admission_controller.m_awaited_bodies == 0)
        return result;
    for (const auto& [id, running] : state.m_admission_controller.m_running) {
        if (running.m_awaits_body)
            result.push_back(id);
    }
    return result;
}

void on_body_link_lost(node_state& state, backend_execution& execution, time_point now)
{
    if (execution.m_body_place != body_place::in_transfer)
        return;
    set_body_place(state, execution, body_place::at_ingress);
    routing::set_held_back(state.m_admission_controller, execution.m_id, true, now);
}

void on_body(step_context& context, const std::string& origin, const body_frame& frame)
{
    node_state& state = context.m_state;
    const auto found = state.m_execution_of_frame.find({origin, frame.m_id});
    if (found == state.m_execution_of_frame.end())
        return;
    const std::uint64_t id = found->second;
    backend_execution& execution = state.m_executions.at(id);
    if (!lacks_body(execution))
        return;
    if (frame.m_body->size() != execution.m_body_bytes) {
        refuse_unstarted(context, id, refusal_reason::body_mismatch, {});
        start_waiting(context);
        return;
    }
    json fields = execution_fields(execution);
    fields["bytes"] = execution.m_body_bytes;
    fields["elapsed_us"] = (context.m_now - execution.m_body_requested_at).count();
    log(context, log_level::info, "body_received", std::move(fields));
    set_body_place(state, execution, body_place::here);
    execution.m_body = frame.m_body;
    routing::record_arrived_body(state.m_admission_controller, id, execution.m_deadline,
                                 context.m_now);
    if (state.m_admission_controller.m_running.count(id) != 0)
        begin_if_possible(context, id);
    start_waiting(context);
}

} // namespace azureladder::sidecar
