#include "step_context.hpp"

#include <azureladder/key_ranges/fencing_token.hpp>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

bool has_departed(const departed_servers& departed, const backend_announcement& announcement)
{
    const auto found = departed.find(announcement.m_id);
    return found != departed.end() && announcement.m_started_at_ms <= found->second;
}

} // namespace

std::string incarnation_of(const backend_announcement& announcement)
{
    return announcement.m_id + '#' + std::to_string(announcement.m_started_at_ms);
}

std::string local_owner_incarnation(const node_state& state)
{
    if (!state.m_backend)
        return {};
    return incarnation_of(state.m_backend->m_announcement) + '@' +
           std::to_string(state.m_options.m_incarnation) + '.' +
           std::to_string(key_ranges::connection_epoch(state.m_ownership.m_connection.m_number));
}

void apply_departures(step_context& context)
{
    node_state& state = context.m_state;
    if (!state.m_backend || state.m_backend->m_leaving ||
        !has_departed(state.m_departed_servers, state.m_backend->m_announcement))
        return;
    state.m_backend->m_leaving = true;
    state.m_backend->m_leaving_since = context.m_now;
    log(context, log_level::info, "backend_leaving",
        {{"backend", state.m_backend->m_announcement.m_id}});
}

namespace {

/// Adds departures. Returns whether any was new.
bool add_departures(step_context& context, const departed_servers& departed)
{
    departed_servers& servers = context.m_state.m_departed_servers;
    const departed_servers former = servers;
    if (!merge(servers, departed))
        return false;
    while (servers.size() > max_departed_servers) {
        const auto oldest =
            std::min_element(servers.begin(), servers.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; });
        context.m_state.m_unstored_departures.erase(oldest->first);
        servers.erase(oldest);
    }
    for (const auto& [id, started_at_ms] : servers) {
        const auto known = former.find(id);
        if (known == former.end() || known->second != started_at_ms)
            add_unstored_departure(context, id, started_at_ms);
    }
    apply_departures(context);
    return true;
}

} // namespace

void record_departures(step_context& context, const departed_servers& departed)
{
    if (add_departures(context, departed))
        emit(context, store_departures{context.m_state.m_departed_servers});
}

void adopt_peer_departures(step_context& context)
{
    const node_state& state = context.m_state;
    if (!state.m_backend || state.m_backend->m_leaving)
        return;
    const backend_announcement announcement = state.m_backend->m_announcement;
    const bool is_recorded =
        std::any_of(state.m_peers.begin(), state.m_peers.end(), [&](const auto& entry) {
            return has_departed(entry.second.m_departed_servers, announcement);
        });
    if (is_recorded)
        record_departures(context, {{announcement.m_id, announcement.m_started_at_ms}});
}

void on_departures_read(step_context& context, const departures_read& read)
{
    const bool is_new = add_departures(context, read.m_departed);
    log(context, log_level::info, "departures_read",
        {{"departures", to_text(read.m_departed)}, {"new", is_new}});
    on_departures_stored(context, read.m_departed);
    if (context.m_state.m_departed_servers != read.m_departed)
        emit(context, store_departures{context.m_state.m_departed_servers});
}

void on_backend_removed(step_context& context, const backend_removed& removed)
{
    const node_state& state = context.m_state;
    // After a restart this process may not have received an announcement of the server yet. Delayed
    // announcements of the server may still follow.
    const bool is_known = state.m_backend && state.m_backend->m_announcement.m_id == removed.m_id;
    const std::int64_t started_at_ms =
        is_known ? state.m_backend->m_announcement.m_started_at_ms : removed.m_received_ms;
    record_departures(context, {{removed.m_id, started_at_ms}});
    broadcast_status(context);
    acknowledge_when_safe(context, {removed.m_message, removed.m_id, started_at_ms, context.m_now});
}

} // namespace azureladder::sidecar
