#include "step_context.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace azureladder::sidecar {

namespace {

/// Shortest time between two announcements that shows that their server is running. Announcements
/// that were held up arrive together.
constexpr duration min_announcement_interval = milliseconds(200);

/// Limit of the learned interval, because a single announcement may be late.
constexpr duration max_announcement_interval = seconds(10);

/// Share of the learned interval that is kept at each announcement.
constexpr double interval_decay = 0.75;

/// Updates the interval between the announcements of a server with the next one.
void record_interval(step_context& context, local_backend& backend,
                     const backend_announcement& announced)
{
    const std::int64_t count = announced.m_sequence - backend.m_announcement.m_sequence;
    const duration elapsed = context.m_now - backend.m_announced_at;
    if (count <= 0 || elapsed < min_announcement_interval)
        return;
    const duration decayed =
        std::chrono::duration_cast<duration>(backend.m_announcement_interval * interval_decay);
    backend.m_announcement_interval =
        std::min(std::max(elapsed / count, decayed), max_announcement_interval);
}

std::string_view host_of(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

/// Why an announcement can't come from the server beside this node; null if it can.
const char* foreign_cause(const node_options& options, const backend_announcement& announced)
{
    if (announced.m_service != options.m_service)
        return "its service is not that of this VM";
    if (!options.m_peer_address.empty() &&
        host_of(announced.m_address) != host_of(options.m_peer_address))
        return "its address is not on this VM";
    return nullptr;
}

/// Why an announcement does not count beside the current server; null if it does. A later
/// incarnation replaces the current one at its address, where only one of them can listen. Any
/// other server does so only when the current one is not in use or can't be reached any more.
const char* outranked_cause(const local_backend& current, const backend_announcement& announced)
{
    const backend_announcement& known = current.m_announcement;
    if (current.m_silent)
        return nullptr;
    if (incarnation_of(known) == incarnation_of(announced)) {
        if (known.m_address != announced.m_address)
            return "the server announces itself at another address";
        return announced.m_sequence <= known.m_sequence ? "it is older than the latest one"
                                                        : nullptr;
    }
    if (announced.m_started_at_ms < known.m_started_at_ms)
        return "the current server started later";
    const bool is_available = is_in_use(current) && !current.m_leaving && !current.m_unreachable;
    return known.m_address != announced.m_address && is_available
               ? "the current server announces itself at another address"
               : nullptr;
}

} // namespace

void on_backend_announced(step_context& context, const backend_announcement& announced)
{
    node_state& state = context.m_state;
    const bool same_incarnation =
        state.m_backend &&
        incarnation_of(state.m_backend->m_announcement) == incarnation_of(announced);
    const char* cause = foreign_cause(state.m_options, announced);
    if (cause == nullptr && state.m_backend) {
        cause = outranked_cause(*state.m_backend, announced);
        // The departure is acknowledged, so this server must not be used later either.
        if (cause != nullptr && announced.m_draining && !same_incarnation)
            record_departures(context, {{announced.m_id, announced.m_started_at_ms}});
    }
    if (cause != nullptr) {
        log(context, log_level::info, "announcement_ignored",
            {{"backend", announced.m_id},
             {"service", announced.m_service},
             {"address", announced.m_address},
             {"born_ms", announced.m_started_at_ms},
             {"sequence", announced.m_sequence},
             {"cause", cause}});
        return;
    }
    if (same_incarnation) {
        // The announcement of a departure may overtake others, whose number would shorten the
        // interval.
        if (!announced.m_draining)
            record_interval(context, *state.m_backend, announced);
    } else {
        log(context, log_level::info, "backend_joined",
            {{"backend", announced.m_id},
             {"service", announced.m_service},
             {"slots", announced.m_slots},
             {"born_ms", announced.m_started_at_ms},
             {"sequence", announced.m_sequence},
             {"former", local_owner_incarnation(state)},
             {"grants_in_force", state.m_ownership.m_grants.size()},
             {"cold_ms", to_ms(announced.m_cold_time_left)}});
        if (state.m_backend)
            clear_range_leases(context);
        state.m_ownership.m_owner_load = {};
        state.m_backend.emplace();
        state.m_backend->m_unused_since = context.m_now;
        state.m_ownership.m_next_table_check_at = context.m_now;
        state.m_admission_controller.m_failure_share = 0.0;
    }
    local_backend& backend = *state.m_backend;
    const duration age = context.m_now - backend.m_announced_at;
    if (announced.m_draining)
        record_departures(context, {{announced.m_id, announced.m_started_at_ms}});
    backend.m_announcement = announced;
    backend.m_announced_at = context.m_now;
    if (std::exchange(backend.m_silent, false))
        log(context, log_level::info, "backend_heard_again",
            {{"backend", announced.m_id}, {"silent_ms", to_ms(age)}});
    backend.m_unreachable = false;
    backend.m_cold_until = context.m_now + announced.m_cold_time_left;
    state.m_cold_until_announced = {};
    apply_departures(context);
    if (!same_incarnation)
        adopt_peer_departures(context);
    check_backend_presence(context);
    update_limits(context);
    start_waiting(context);
}

} // namespace azureladder::sidecar
