#include "step_context.hpp"

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// What shows that no earlier process can have acknowledged the departure of a server.
enum class confirmation_basis
{
    /// The server states that it stays.
    check,

    /// It started after this process.
    started_later,

    /// It states nothing, and announces itself after `m_max_announcement_delay`.
    announced_later
};

constexpr enum_name<confirmation_basis> confirmation_basis_names[] = {
    {confirmation_basis::check, "check"},
    {confirmation_basis::started_later, "started_later"},
    {confirmation_basis::announced_later, "announced_later"},
};

void confirm(step_context& context, local_backend& backend, confirmation_basis basis)
{
    backend.m_standing = backend_standing::confirmed;
    log(context, log_level::info, "backend_confirmed",
        {{"backend", backend.m_announcement.m_id},
         {"born_ms", backend.m_announcement.m_started_at_ms},
         {"sequence", backend.m_announcement.m_sequence},
         {"basis", find_enum_name(confirmation_basis_names, basis)},
         {"unused_ms", to_ms(context.m_now - backend.m_unused_since)}});
    start_waiting(context);
}

/// Confirms a server that has not stated whether it stays, if it can't have left before.
void confirm_without_check(step_context& context, local_backend& backend)
{
    const node_state& state = context.m_state;
    if (backend.m_standing != backend_standing::unconfirmed)
        return;
    if (backend.m_announcement.m_started_at_ms >= state.m_options.m_started_at_ms)
        confirm(context, backend, confirmation_basis::started_later);
    else if (backend.m_announced_at >= state.m_current_announcements_from)
        confirm(context, backend, confirmation_basis::announced_later);
}

/// Time after the latest sign of a server from which on it has to be checked.
duration announcement_lifetime(const node_options& options, const local_backend& backend)
{
    if (backend.m_announcement_interval == duration::zero())
        return options.m_first_announcement_lifetime;
    return std::max(options.m_min_announcement_lifetime,
                    backend.m_announcement_interval * options.m_missed_announcement_limit);
}

/// Whether a check of a server is due. An unconfirmed one is checked when it announces itself, a
/// confirmed one when its announcements have stopped.
bool needs_check(const node_state& state, const local_backend& backend, time_point now)
{
    if (backend.m_standing != backend_standing::confirmed)
        return backend.m_announced_at > backend.m_checked_at &&
               now - backend.m_checked_at >= state.m_options.m_min_check_interval;
    return !backend.m_silent &&
           now - std::max(backend.m_announced_at, backend.m_check_answered_at) >
               announcement_lifetime(state.m_options, backend);
}

void mark_silent(step_context& context, local_backend& backend)
{
    backend.m_silent = true;
    backend.m_unused_since = context.m_now;
    log(context, log_level::warning, "backend_silent",
        {{"backend", backend.m_announcement.m_id},
         {"age_ms", to_ms(context.m_now - backend.m_announced_at)},
         {"interval_ms", to_ms(backend.m_announcement_interval)}});
}

/// Whether a result shows that the server at the address runs.
bool is_sign_of_life(backend_check_result result)
{
    return result == backend_check_result::in_service ||
           result == backend_check_result::inconclusive || result == backend_check_result::rejected;
}

} // namespace

bool is_in_use(const local_backend& backend)
{
    return backend.m_standing == backend_standing::confirmed && !backend.m_silent;
}

void check_backend_presence(step_context& context)
{
    node_state& state = context.m_state;
    if (!state.m_backend || state.m_backend->m_check != 0 ||
        !needs_check(state, *state.m_backend, context.m_now))
        return;
    local_backend& backend = *state.m_backend;
    const routing::service_definition* service =
        find_service(state, backend.m_announcement.m_service);
    // Without a configuration no server is used, and how to check it is not known yet.
    if (service == nullptr && !state.m_active_configuration.m_configuration)
        return;
    backend.m_checked_at = context.m_now;
    const bool is_checkable =
        service != nullptr && !service->m_health_check_path.empty() && !backend.m_is_uncheckable;
    if (is_checkable && !backend.m_leaving) {
        backend.m_check = state.m_next_command_id++;
        emit(context,
             check_backend{backend.m_check, backend.m_announcement.m_id,
                           backend.m_announcement.m_address, service->m_health_check_path});
    } else if (backend.m_standing == backend_standing::confirmed) {
        mark_silent(context, backend);
    } else {
        confirm_without_check(context, backend);
    }
}

void on_backend_checked(step_context& context, const backend_checked& checked)
{
    node_state& state = context.m_state;
    if (!state.m_backend || state.m_backend->m_check != checked.m_check)
        return;
    local_backend& backend = *state.m_backend;
    backend.m_check = 0;
    log(context, log_level::info, "backend_checked",
        {{"backend", backend.m_announcement.m_id},
         {"standing", find_enum_name(backend_standing_names, backend.m_standing)},
         {"result", find_enum_name(backend_check_result_names, checked.m_result)},
         {"cause", checked.m_cause},
         {"elapsed_ms", to_ms(context.m_now - backend.m_checked_at)}});
    if (checked.m_result == backend_check_result::replaced) {
        on_backend_replaced(context);
        return;
    }
    if (is_sign_of_life(checked.m_result))
        backend.m_check_answered_at = context.m_now;
    if (backend.m_standing == backend_standing::confirmed) {
        // An announcement may have arrived in the meantime.
        if (!is_sign_of_life(checked.m_result) && needs_check(state, backend, context.m_now))
            mark_silent(context, backend);
        return;
    }
    if (checked.m_result == backend_check_result::in_service) {
        confirm(context, backend, confirmation_basis::check);
    } else if (checked.m_result == backend_check_result::out_of_service) {
        backend.m_standing = backend_standing::out_of_service;
    } else {
        if (checked.m_result == backend_check_result::inconclusive)
            backend.m_is_uncheckable = true;
        confirm_without_check(context, backend);
    }
}

} // namespace azureladder::sidecar
