#include "execution_results.hpp"

#include "request_bodies.hpp"

#include <algorithm>
#include <utility>

namespace azureladder::sidecar {

namespace {

/// Responses above this fraction of the memory for retained responses are dropped first, so that
/// a few long ones do not replace all others.
constexpr std::size_t long_response_divisor = 32;

/// Interval between probe requests to an unresponsive or unreachable backend server.
constexpr duration probe_interval = milliseconds(500);

void release_result(node_state& state, backend_execution& execution)
{
    state.m_retained_bytes -= std::exchange(execution.m_result_bytes, 0);
    auto& retained = state.m_retained_executions;
    const auto found = std::find(retained.begin(), retained.end(), execution.m_id);
    if (found != retained.end())
        retained.erase(found);
}

std::size_t memory_of(const server_response& response)
{
    std::size_t bytes = sizeof response + response.m_body.capacity();
    for (const auto& field : response.m_headers)
        bytes += sizeof field + field.m_name.size() + field.m_value.size();
    return bytes;
}

/// Retains the response of an ended execution. If the memory for all of them is exceeded, the
/// origins of the oldest ones are told that the execution failed, if they resume it: an unknown
/// execution counts as not executed.
void retain_response(step_context& context, backend_execution& execution)
{
    node_state& state = context.m_state;
    const auto* answer = std::get_if<response_frame>(&*execution.m_result);
    if (answer == nullptr)
        return;
    execution.m_result_bytes = memory_of(*answer->m_response);
    state.m_retained_bytes += execution.m_result_bytes;
    auto& retained = state.m_retained_executions;
    retained.push_back(execution.m_id);
    const std::size_t max_bytes = state.m_options.m_max_retained_bytes;
    while (state.m_retained_bytes > max_bytes) {
        const auto first_long =
            std::find_if(retained.begin(), retained.end(), [&](std::uint64_t id) {
                return state.m_executions.at(id).m_result_bytes > max_bytes / long_response_divisor;
            });
        backend_execution& dropped =
            state.m_executions.at(first_long == retained.end() ? retained.front() : *first_long);
        release_result(state, dropped);
        dropped.m_result = failure_frame{dropped.m_frame, "the response is not retained any more",
                                         own_load_report(context)};
    }
}

} // namespace

routing::load_report own_load_report(step_context& context)
{
    return routing::make_load_report(context.m_state.m_admission_controller,
                                     accepts_requests(context.m_state, context.m_now),
                                     context.m_now, context.m_state.m_options.m_admission_options);
}

void record_unanswered_execution(const step_context& context, local_backend& backend)
{
    ++backend.m_unanswered_executions;
    backend.m_next_probe_at = context.m_now + probe_interval;
}

void record_keyed_execution(const step_context& context, const backend_execution& execution)
{
    if (!execution.m_request->m_key || local_keyed_service(context.m_state).empty())
        return;
    const auto seconds_since = [&](time_point since) {
        return std::chrono::duration<double>(context.m_now - since).count();
    };
    key_ranges::owner_load& load = context.m_state.m_ownership.m_owner_load;
    key_ranges::record_execution(load, seconds_since(execution.m_started_at));
    // The target of a retry counts from the first attempt, which says nothing about this server.
    if (!execution.m_is_retry && execution.m_time_to_target > duration::zero())
        key_ranges::record_latency(
            load, seconds_since(execution.m_arrived_at) /
                      std::chrono::duration<double>(execution.m_time_to_target).count());
}

void remove_execution(step_context& context, std::uint64_t id)
{
    const auto found = context.m_state.m_executions.find(id);
    if (found == context.m_state.m_executions.end())
        return;
    release_result(context.m_state, found->second);
    set_body_place(context.m_state, found->second, body_place::released);
    context.m_state.m_execution_of_frame.erase({found->second.m_origin, found->second.m_frame});
    context.m_state.m_executions.erase(found);
}

void send_and_retain_result(step_context& context, backend_execution& execution, peer_frame result)
{
    execution.m_finished_at = context.m_now;
    execution.m_result = result;
    if (execution.m_link_lost_at == time_point{})
        send_on_link(context, execution.m_link, std::move(result));
    retain_response(context, execution);
}

bool is_reset_by_full_server(const node_state& state, const execution_ended& ended)
{
    if (!ended.m_is_reset || ended.m_result != execution_result::unknown || !state.m_backend)
        return false;
    const auto& controller = state.m_admission_controller;
    const std::size_t started = controller.m_running.size() - controller.m_awaited_bodies;
    const std::uint32_t slots = state.m_backend->m_announcement.m_slots;
    return started >= slots && state.m_backend->m_resets_while_full < slots;
}

void update_backend_health(step_context& context, const execution_ended& ended)
{
    if (!context.m_state.m_backend)
        return;
    local_backend& backend = *context.m_state.m_backend;
    if (ended.m_result == execution_result::answered ||
        ended.m_result == execution_result::rejected) {
        backend.m_unanswered_executions = 0;
        backend.m_resets_while_full = 0;
        backend.m_unreachable = false;
        return;
    }
    if (ended.m_result == execution_result::unknown) {
        record_unanswered_execution(context, backend);
        return;
    }
    if (!backend.m_unreachable) {
        backend.m_unreachable_since = context.m_now;
        log(context, log_level::warning, "backend_unreachable",
            {{"backend", backend.m_announcement.m_id}, {"cause", ended.m_cause}});
    }
    backend.m_unreachable = true;
    backend.m_next_probe_at = context.m_now + probe_interval;
}

void send_execution_result(step_context& context, backend_execution& execution,
                           const execution_ended& ended)
{
    const std::uint64_t frame = execution.m_frame;
    switch (ended.m_result) {
    case execution_result::answered:
        send_and_retain_result(context, execution,
                               response_frame{frame, ended.m_response, own_load_report(context)});
        break;
    case execution_result::rejected:
        send_and_retain_result(
            context, execution,
            refusal_frame{
                frame, refusal_reason::rejected_by_server, 0, own_load_report(context), {}});
        break;
    case execution_result::not_sent:
        send_and_retain_result(
            context, execution,
            refusal_frame{frame, refusal_reason::no_server, 0, own_load_report(context), {}});
        break;
    case execution_result::unknown:
        send_and_retain_result(context, execution,
                               failure_frame{frame, ended.m_cause, own_load_report(context)});
        break;
    }
}

} // namespace azureladder::sidecar
