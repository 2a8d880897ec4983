#include "step_context.hpp"

#include <azureladder/key_ranges/fencing_token.hpp>
#include <azureladder/key_ranges/hold_rules.hpp>

#include <algorithm>
#include <vector>

namespace azureladder::sidecar {

namespace {

/// Timeout after which a grant is sent again.
constexpr duration order_timeout = milliseconds(400);

/// Response timeout after which the next grant opens a new connection, divided by the number of
/// grants that wait. For a single grant it exceeds the throttling period of a CPU quota; with many,
/// the full timeout per lost response would let leases expire.
constexpr duration connection_patience = milliseconds(150);
constexpr duration min_connection_patience = milliseconds(20);

/// Delay after a grant that was refused or whose connection failed. A restart of a server takes
/// some hundred milliseconds.
constexpr duration grant_retry_pause = milliseconds(100);

/// Time before the expiry of a lease from which on new requests are refused, because a request
/// takes time to reach the backend server.
constexpr duration serving_margin = milliseconds(100);

/// Id of the server in the newest announcement, for logs.
std::string known_backend_id(const node_state& state)
{
    return state.m_backend ? state.m_backend->m_announcement.m_id : std::string();
}

struct wanted_hold
{
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;
    std::uint64_t m_fence = 0;
    std::string m_handover;
};

/// Parts of a range that remain without the keys in transfer.
std::vector<wanted_hold> without_moves(const key_ranges::range_entry& entry,
                                       const std::vector<range_move>& moves)
{
    std::vector<wanted_hold> parts{{entry.m_from, entry.m_to, entry.m_fence, entry.m_handover}};
    for (const auto& move : moves) {
        std::vector<wanted_hold> rest;
        for (const auto& part : parts) {
            if (move.m_to < part.m_from || move.m_from > part.m_to) {
                rest.push_back(part);
                continue;
            }
            if (part.m_from < move.m_from)
                rest.push_back({part.m_from, move.m_from - 1, part.m_fence, part.m_handover});
            if (move.m_to < part.m_to)
                rest.push_back({move.m_to + 1, part.m_to, part.m_fence, part.m_handover});
        }
        parts = std::move(rest);
    }
    return parts;
}

/// Ranges that the local backend server has to hold leases for, according to the table.
std::vector<wanted_hold> wanted_holds(const node_state& state)
{
    std::vector<wanted_hold> result;
    const auto table = state.m_tables.find(local_keyed_service(state));
    const std::string life = local_owner_incarnation(state);
    if (table == state.m_tables.end() || life.empty())
        return result;
    for (const auto& entry : table->second.m_table.m_entries) {
        if (entry.m_owner != state.m_options.m_node || entry.m_life != life ||
            entry.m_state != key_ranges::range_state::settled)
            continue;
        for (auto& part : without_moves(entry, state.m_ownership.m_moves))
            result.push_back(std::move(part));
    }
    return result;
}

void open_next_connection(order_connection& connection)
{
    ++connection.m_number;
    connection.m_order = 0;
    connection.m_is_proven = false;
}

/// Returns whether the connection is free for a grant. A grant in flight that exceeds its timeout
/// is abandoned together with its connection.
bool take_connection(order_connection& connection, std::size_t waiting, time_point now)
{
    if (now < connection.m_next_order)
        return false;
    const duration patience = std::max(min_connection_patience,
                                       connection_patience / static_cast<duration::rep>(waiting));
    if (connection.m_order != 0 && now - connection.m_order_sent >= patience)
        open_next_connection(connection);
    return connection.m_order == 0;
}

/// Switches the connection to the server's address. Returns false while a server at the previous
/// address may still hold keys.
bool take_address(step_context& context)
{
    key_ownership& keys = context.m_state.m_ownership;
    const std::string& address = context.m_state.m_backend->m_announcement.m_address;
    if (keys.m_connection.m_address == address)
        return true;
    if (!keys.m_connection.m_address.empty() &&
        key_ranges::may_be_held(keys.m_grants, 0, key_ranges::max_key, context.m_now,
                                context.m_state.m_options.m_holds))
        return false;
    keys.m_connection.m_address = address;
    open_next_connection(keys.m_connection);
    return true;
}

void send_grant(step_context& context, std::uint32_t from, range_hold& hold)
{
    node_state& state = context.m_state;
    order_connection& connection = state.m_ownership.m_connection;
    const backend_announcement& server = state.m_backend->m_announcement;
    hold.m_order = connection.m_order = state.m_next_order++;
    hold.m_order_sent = connection.m_order_sent = context.m_now;
    hold.m_connection = connection.m_number;
    key_ranges::record_grant(state.m_ownership.m_grants, hold.m_order, from, hold.m_to,
                             context.m_now);
    emit(context,
         grant_keys{hold.m_order, connection.m_number, server.m_id, server.m_address, from,
                    hold.m_to, key_ranges::fencing_token(hold.m_fence, connection.m_number),
                    state.m_options.m_holds.m_hold_time, hold.m_handover});
}

bool is_due(range_hold& hold, time_point now, const key_ranges::hold_options& options)
{
    if (hold.m_order != 0 && now - hold.m_order_sent >= order_timeout)
        hold.m_order = 0;
    return hold.m_order == 0 && now >= hold.m_next_grant &&
           (hold.m_granted_at == time_point{} ||
            now - hold.m_granted_at >= options.m_renew_interval);
}

/// Sends the grant of the lease that expires first, if any is due for renewal.
void renew_holds(step_context& context)
{
    node_state& state = context.m_state;
    const auto& options = state.m_options.m_holds;
    const auto table = state.m_tables.find(local_keyed_service(state));
    if (table == state.m_tables.end() || !state.m_backend ||
        !key_ranges::may_renew(table->second.m_confirmed_at, context.m_now, options))
        return;
    key_ownership& keys = state.m_ownership;
    auto urgent = keys.m_holds.end();
    std::size_t waiting = 0;
    for (auto hold = keys.m_holds.begin(); hold != keys.m_holds.end(); ++hold) {
        if (!is_due(hold->second, context.m_now, options))
            continue;
        ++waiting;
        if (urgent == keys.m_holds.end() || hold->second.m_granted_at < urgent->second.m_granted_at)
            urgent = hold;
    }
    if (waiting == 0 || !take_address(context) ||
        !take_connection(keys.m_connection, waiting, context.m_now))
        return;
    // After a change of the connection epoch the table needs new fencing tokens first.
    if (keys.m_holds_epoch == key_ranges::connection_epoch(keys.m_connection.m_number))
        send_grant(context, urgent->first, urgent->second);
}

void note_grant_ended(step_context& context, const order_ended& ended)
{
    key_ownership& keys = context.m_state.m_ownership;
    if (ended.m_result == order_result::accepted)
        key_ranges::record_acceptance(keys.m_grants, ended.m_order);
    else if (ended.m_result == order_result::not_sent)
        key_ranges::record_not_sent(keys.m_grants, ended.m_order);
    if (keys.m_connection.m_order != ended.m_order)
        return;
    keys.m_connection.m_order = 0;
    if (ended.m_result == order_result::accepted || ended.m_result == order_result::refused) {
        keys.m_connection.m_is_proven = true;
        return;
    }
    // A connection that has worked may be closed at any time, so the next one is tried at once.
    if (!keys.m_connection.m_is_proven)
        keys.m_connection.m_next_order = context.m_now + grant_retry_pause;
    open_next_connection(keys.m_connection);
}

} // namespace

bool holds_key(const node_state& state, std::uint32_t key, time_point now)
{
    const auto& holds = state.m_ownership.m_holds;
    auto after = holds.upper_bound(key);
    if (after == holds.begin())
        return false;
    const range_hold& hold = std::prev(after)->second;
    return key <= hold.m_to && hold.m_granted_at != time_point{} &&
           now < hold.m_granted_at + state.m_options.m_holds.m_hold_time - serving_margin;
}

void forget_holds(step_context& context)
{
    // Transfers are retained until the table shows their end, because the store may still apply a
    // write of them.
    context.m_state.m_ownership.m_holds.clear();
}

void on_order_ended(step_context& context, const order_ended& ended)
{
    key_ownership& keys = context.m_state.m_ownership;
    note_grant_ended(context, ended);
    for (auto& [from, hold] : keys.m_holds) {
        if (hold.m_order != ended.m_order)
            continue;
        hold.m_order = 0;
        if (ended.m_result == order_result::accepted) {
            const bool first = hold.m_granted_at == time_point{};
            hold.m_granted_at = hold.m_order_sent;
            hold.m_handover.clear();
            if (first)
                log(context, log_level::info, "keys_granted",
                    {{"from", from},
                     {"to", hold.m_to},
                     {"fence", hold.m_fence},
                     {"order", ended.m_order},
                     {"connection", hold.m_connection},
                     {"backend", known_backend_id(context.m_state)}});
        } else {
            if (ended.m_result != order_result::not_sent)
                hold.m_next_grant = context.m_now + grant_retry_pause;
            log(context, log_level::warning, "grant_failed",
                {{"from", from},
                 {"to", hold.m_to},
                 {"fence", hold.m_fence},
                 {"order", ended.m_order},
                 {"connection", hold.m_connection},
                 {"backend", known_backend_id(context.m_state)},
                 {"sent_us_ago", (context.m_now - hold.m_order_sent).count()},
                 {"result", std::string(name_in(order_result_names, ended.m_result))},
                 {"cause", ended.m_cause}});
        }
        if (ended.m_other_server)
            on_backend_replaced(context);
        else
            renew_holds(context);
        return;
    }
    for (auto& move : keys.m_moves) {
        if (move.m_order != ended.m_order)
            continue;
        move.m_order = 0;
        if (ended.m_result != order_result::accepted) {
            log(context, log_level::warning, "release_failed",
                {{"from", move.m_from},
                 {"to", move.m_to},
                 {"fence", move.m_fence},
                 {"order", ended.m_order},
                 {"result", std::string(name_in(order_result_names, ended.m_result))},
                 {"cause", ended.m_cause}});
            return;
        }
        move.m_released = true;
        move.m_handover = ended.m_handover;
        log(context, log_level::info, "keys_released",
            {{"from", move.m_from},
             {"to", move.m_to},
             {"fence", move.m_fence},
             {"order", ended.m_order},
             {"elapsed_us", (context.m_now - move.m_order_sent).count()},
             {"has_handover", !ended.m_handover.empty()},
             {"may_be_granted_late",
              key_ranges::may_be_granted_late(keys.m_grants, move.m_from, move.m_to, context.m_now,
                                              context.m_state.m_options.m_holds)}});
        check_tables(context);
        return;
    }
}

void check_holds(step_context& context)
{
    node_state& state = context.m_state;
    key_ownership& keys = state.m_ownership;
    key_ranges::forget_ended(keys.m_grants, context.m_now, state.m_options.m_holds);
    const std::vector<wanted_hold> wanted = wanted_holds(state);
    std::map<std::uint32_t, range_hold> holds;
    for (const auto& part : wanted) {
        const auto known = keys.m_holds.find(part.m_from);
        range_hold hold;
        if (known != keys.m_holds.end() && known->second.m_fence == part.m_fence) {
            hold = known->second;
            // The lease was longer before, so a command in flight covers other keys.
            if (hold.m_to != part.m_to)
                hold.m_order = 0;
        } else {
            hold.m_handover = part.m_handover;
            // The rest of a range whose first part is in transfer keeps its times.
            for (const auto& [from, former] : keys.m_holds) {
                if (former.m_fence != part.m_fence || from > part.m_from || former.m_to < part.m_to)
                    continue;
                hold = former;
                hold.m_order = 0;
            }
        }
        hold.m_fence = part.m_fence;
        hold.m_to = part.m_to;
        holds[part.m_from] = hold;
    }
    keys.m_holds = std::move(holds);
    keys.m_holds_epoch = key_ranges::connection_epoch(keys.m_connection.m_number);
    renew_holds(context);
}

} // namespace azureladder::sidecar
