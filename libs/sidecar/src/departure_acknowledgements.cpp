#include "step_context.hpp"

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// A server that gets no response repeats its message about once a second.
constexpr std::size_t max_pending_acknowledgements = 16;

/// What an acknowledgement of a departure rests on.
enum class acknowledgement_basis
{
    none,

    /// The next process of this node reads the departure from the store.
    stored,

    /// The next process of this node uses the server only once it is confirmed.
    confirmation
};

constexpr enum_name<acknowledgement_basis> acknowledgement_basis_names[] = {
    {acknowledgement_basis::none, "none"},
    {acknowledgement_basis::stored, "stored"},
    {acknowledgement_basis::confirmation, "confirmation"},
};

bool covers(const departed_servers& servers, const pending_acknowledgement& pending)
{
    const auto found = servers.find(pending.m_backend_id);
    return found != servers.end() && pending.m_started_at_ms <= found->second;
}

acknowledgement_basis basis_of(const step_context& context, const pending_acknowledgement& pending)
{
    const node_state& state = context.m_state;
    const auto found = state.m_unstored_departures.find(pending.m_backend_id);
    if (found == state.m_unstored_departures.end())
        return acknowledgement_basis::stored;
    const duration waited = context.m_now - found->second.m_recorded_at;
    return waited < state.m_options.m_departure_store_wait ? acknowledgement_basis::none
                                                           : acknowledgement_basis::confirmation;
}

void respond(step_context& context, const pending_acknowledgement& pending,
             acknowledgement_basis basis)
{
    const bool is_acknowledged = basis != acknowledgement_basis::none;
    log(context, basis == acknowledgement_basis::stored ? log_level::info : log_level::warning,
        is_acknowledged ? "departure_acknowledged" : "departure_not_acknowledged",
        {{"backend", pending.m_backend_id},
         {"born_ms", pending.m_started_at_ms},
         {"basis", find_enum_name(acknowledgement_basis_names, basis)},
         {"waited_ms", to_ms(context.m_now - pending.m_received_at)}});
    emit(context, respond_to_backend{pending.m_message, is_acknowledged});
}

} // namespace

void acknowledge_when_safe(step_context& context, const pending_acknowledgement& pending)
{
    node_state& state = context.m_state;
    auto& waiting = state.m_pending_acknowledgements;
    waiting.push_back(pending);
    check_pending_acknowledgements(context);
    if (waiting.size() > max_pending_acknowledgements) {
        respond(context, waiting.front(), acknowledgement_basis::none);
        waiting.pop_front();
    }
}

void check_pending_acknowledgements(step_context& context)
{
    node_state& state = context.m_state;
    auto& waiting = state.m_pending_acknowledgements;
    const auto is_done = [&](const pending_acknowledgement& pending) {
        // The announcement was ignored, or the departure gave way to newer ones.
        if (!covers(state.m_departed_servers, pending)) {
            respond(context, pending, acknowledgement_basis::none);
            return true;
        }
        const acknowledgement_basis basis = basis_of(context, pending);
        if (basis == acknowledgement_basis::none)
            return false;
        respond(context, pending, basis);
        return true;
    };
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(), is_done), waiting.end());
}

void on_departures_stored(step_context& context, const departed_servers& stored)
{
    auto& unstored = context.m_state.m_unstored_departures;
    for (const auto& [id, started_at_ms] : stored) {
        const auto found = unstored.find(id);
        if (found != unstored.end() && found->second.m_started_at_ms <= started_at_ms)
            unstored.erase(found);
    }
    check_pending_acknowledgements(context);
}

void add_unstored_departure(step_context& context, const std::string& id,
                            std::int64_t started_at_ms)
{
    node_state& state = context.m_state;
    const bool is_local_backend = state.m_backend && state.m_backend->m_announcement.m_id == id &&
                                  state.m_backend->m_announcement.m_started_at_ms <= started_at_ms;
    const auto [entry, is_new] = state.m_unstored_departures.try_emplace(id);
    entry->second.m_started_at_ms = started_at_ms;
    // Each removal of a server that this process does not know names a later start. The time of the
    // first one counts.
    if (is_new || is_local_backend)
        entry->second.m_recorded_at = context.m_now;
}

void respond_to_announcement(step_context& context, const backend_announced& announced)
{
    const backend_announcement& announcement = announced.m_announcement;
    if (announcement.m_draining)
        acknowledge_when_safe(context, {announced.m_message, announcement.m_id,
                                        announcement.m_started_at_ms, context.m_now});
    else
        emit(context, respond_to_backend{announced.m_message, true});
}

} // namespace azureladder::sidecar
