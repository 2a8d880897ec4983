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

    /// No announcement is under way that could make the server a ready one again.
    announcements_ended
};

constexpr enum_name<acknowledgement_basis> acknowledgement_basis_names[] = {
    {acknowledgement_basis::none, "none"},
    {acknowledgement_basis::stored, "stored"},
    {acknowledgement_basis::announcements_ended, "announcements_ended"},
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
    // After a pause of the process, announcements may have arrived that were not read yet.
    if (context.m_now - state.m_last_tick > max_tick_interval)
        return acknowledgement_basis::none;
    const unstored_departure& departure = found->second;
    const time_point earliest =
        std::max(departure.m_recorded_at + state.m_options.m_departure_store_wait,
                 end_of_announcements(departure, state.m_options.m_max_announcement_silence));
    return context.m_now < earliest ? acknowledgement_basis::none
                                    : acknowledgement_basis::announcements_ended;
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

void record_announcement_of_departed(step_context& context, const backend_announcement& announced)
{
    node_state& state = context.m_state;
    const auto found = state.m_unstored_departures.find(announced.m_id);
    if (found == state.m_unstored_departures.end() || announced.m_draining ||
        announced.m_started_at_ms > found->second.m_started_at_ms)
        return;
    found->second.m_last_announced_at = context.m_now;
    if (state.m_backend && state.m_backend->m_announcement.m_id == announced.m_id)
        found->second.m_announcement_interval = state.m_backend->m_announcement_interval;
    log(context, log_level::info, "announcement_after_departure",
        {{"backend", announced.m_id},
         {"sequence", announced.m_sequence},
         {"departed_ms_ago", to_ms(context.m_now - found->second.m_recorded_at)}});
}

void restart_announcement_silence(step_context& context)
{
    for (auto& [id, departure] : context.m_state.m_unstored_departures)
        departure.m_last_announced_at = context.m_now;
}

void add_unstored_departure(step_context& context, const std::string& id,
                            std::int64_t started_at_ms)
{
    node_state& state = context.m_state;
    const auto [entry, is_new] = state.m_unstored_departures.try_emplace(id);
    unstored_departure& departure = entry->second;
    const bool is_local_backend = state.m_backend && state.m_backend->m_announcement.m_id == id &&
                                  state.m_backend->m_announcement.m_started_at_ms <= started_at_ms;
    if (is_local_backend)
        departure = {started_at_ms, context.m_now, state.m_backend->m_announced_at,
                     state.m_backend->m_announcement_interval, false};
    else if (is_new)
        departure = {started_at_ms, context.m_now, {}, {}, false};
    // The start of a server that this process does not know is unknown: each of its removals names
    // a later one, and the first of them counts.
    departure.m_started_at_ms = started_at_ms;
}

void complete_announcements(step_context& context, const std::string& id)
{
    const auto found = context.m_state.m_unstored_departures.find(id);
    if (found != context.m_state.m_unstored_departures.end())
        found->second.m_has_all_announcements = true;
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
