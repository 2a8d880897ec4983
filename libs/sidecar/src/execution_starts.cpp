#include "backend_executions_internal.hpp"
#include "execution_results.hpp"
#include "request_bodies.hpp"

namespace azureladder::sidecar {

json execution_fields(const backend_execution& execution)
{
    return {{"request", execution.m_request->m_request_id},
            {"origin", execution.m_origin},
            {"route", execution.m_request->m_route}};
}

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
         {"new_request_share", context.m_state.m_admission_controller.m_new_request_share},
         {"retry_after_ms", to_ms(retry_after)}});
    refusal_frame refusal{frame, reason, retry_after.count(), own_load_report(context), {}};
    if (reason == refusal_reason::not_owner && request.m_key)
        refusal.m_owner = other_owner(context.m_state, request.m_service, *request.m_key);
    send_on_link(context, link, std::move(refusal));
}

void begin_execution(step_context& context, backend_execution& execution)
{
    const local_backend& backend = *context.m_state.m_backend;
    const auto& running = context.m_state.m_admission_controller.m_running;
    const auto admitted = running.find(execution.m_id);
    execution.m_started = true;
    execution.m_started_at = context.m_now;
    if (!execution.m_request->m_is_call)
        routing::record_execution(context.m_state.m_nested_calls);
    json fields = execution_fields(execution);
    fields["backend"] = backend.m_announcement.m_id;
    fields["running"] = running.size();
    if (admitted != running.end() && admitted->second.m_is_late)
        fields["late"] = true;
    log(context, log_level::info, "execution_started", std::move(fields));
    emit(context, start_execution{execution.m_id, take_complete_request(execution),
                                  backend.m_announcement.m_id, backend.m_announcement.m_address,
                                  execution.m_deadline - context.m_now});
}

void remove_unstarted(node_state& state, std::uint64_t id, time_point now)
{
    if (state.m_admission_controller.m_running.count(id) != 0)
        routing::finish_execution(state.m_admission_controller, id, {},
                                  routing::execution_outcome::abandoned, now,
                                  state.m_options.m_admission_options);
    else
        routing::remove_waiting_request(state.m_admission_controller, id);
}

void refuse_unstarted(step_context& context, std::uint64_t id, refusal_reason reason,
                      duration retry_after)
{
    remove_unstarted(context.m_state, id, context.m_now);
    const auto found = context.m_state.m_executions.find(id);
    if (found == context.m_state.m_executions.end())
        return;
    const backend_execution execution = found->second;
    remove_execution(context, id);
    if (execution.m_link_lost_at == time_point{})
        refuse(context, execution.m_link, execution.m_frame, *execution.m_request, reason,
               retry_after);
}

bool begin_if_possible(step_context& context, std::uint64_t id)
{
    node_state& state = context.m_state;
    const auto found = state.m_executions.find(id);
    if (found == state.m_executions.end())
        return true;
    backend_execution& execution = found->second;
    const auto& key = execution.m_request->m_key;
    refusal_reason reason = refusal_reason::not_owner;
    if (!state.m_backend ||
        state.m_backend->m_announcement.m_service != execution.m_request->m_service) {
        reason = refusal_reason::no_server;
    } else if (!key || local_keyed_service(state).empty() ||
               has_key_lease(state, *key, context.m_now)) {
        if (!lacks_body(execution))
            begin_execution(context, execution);
        return true;
    }
    refuse_unstarted(context, id, reason, {});
    return false;
}

void start_waiting(step_context& context)
{
    node_state& state = context.m_state;
    const auto& options = state.m_options.m_admission_options;
    for (const auto& request : routing::remove_unanswerable_requests(state.m_admission_controller,
                                                                     context.m_now, options))
        refuse_unstarted(context, request.m_id, refusal_reason::overloaded,
                         options.m_min_retry_after);
    if (!state.m_backend)
        return;
    do {
        for (const auto& request :
             routing::start_waiting_requests(state.m_admission_controller, context.m_now, options))
            begin_if_possible(context, request.m_id);
    } while (request_bodies(context));
}

} // namespace azureladder::sidecar
