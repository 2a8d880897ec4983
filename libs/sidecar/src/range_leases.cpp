#include "step_context.hpp"

#include <azureladder/key_ranges/fencing_token.hpp>
#include <azureladder/key_ranges/lease_rules.hpp>
#include <azureladder/key_ranges/store_revision.hpp>

#include <algorithm>
#include <vector>

namespace azureladder::sidecar {

namespace {

/// Timeout after which a grant is sent again.
constexpr duration grant_resend_timeout = milliseconds(400);

/// Response timeout after which the next grant opens a new connection, divided by the number of
/// grants that wait. For a single grant it exceeds the throttling period of a CPU quota; with many,
/// the full timeout per lost response would let leases expire.
constexpr duration grant_response_timeout = milliseconds(150);
constexpr duration min_grant_response_timeout = milliseconds(20);

/// Delay after a grant that was refused or whose connection failed. A restart of a server takes
/// some hundred milliseconds.
constexpr duration grant_retry_delay = milliseconds(100);

/// Time before the expiry of a lease from which on new requests are refused, because a request
/// takes time to reach the backend server.
constexpr duration serving_margin = milliseconds(100);

/// Id of the server in the newest announcement, for logs.
std::string local_backend_id(const node_state& state)
{
    return state.m_backend ? state.m_backend->m_announcement.m_id : std::string();
}

struct required_lease
{
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;
    std::uint64_t m_fencing_token = 0;
    std::string m_handover;
};

/// Parts of a range that remain without the keys in transfer.
std::vector<required_lease> without_transfers(const key_ranges::range_entry& entry,
                                              const std::vector<range_transfer>& transfers)
{
    std::vector<required_lease> parts{
        {entry.m_from, entry.m_to, entry.m_fencing_token, entry.m_handover}};
    for (const auto& transfer : transfers) {
        std::vector<required_lease> rest;
        for (const auto& part : parts) {
            if (transfer.m_to < part.m_from || transfer.m_from > part.m_to) {
                rest.push_back(part);
                continue;
            }
            if (part.m_from < transfer.m_from)
                rest.push_back(
                    {part.m_from, transfer.m_from - 1, part.m_fencing_token, part.m_handover});
            if (transfer.m_to < part.m_to)
                rest.push_back(
                    {transfer.m_to + 1, part.m_to, part.m_fencing_token, part.m_handover});
        }
        parts = std::move(rest);
    }
    return parts;
}

/// Ranges that the local backend server has to hold leases for, according to the table.
std::vector<required_lease> required_leases(const node_state& state)
{
    std::vector<required_lease> result;
    const auto table = state.m_tables.find(local_keyed_service(state));
    const std::string incarnation = local_owner_incarnation(state);
    if (table == state.m_tables.end() || incarnation.empty())
        return result;
    const std::uint64_t era = key_ranges::era_of(table->second.m_revision);
    for (const auto& entry : table->second.m_table.m_entries) {
        if (entry.m_owner != state.m_options.m_node || entry.m_server_incarnation != incarnation ||
            entry.m_state != key_ranges::range_state::active || entry.m_era != era)
            continue;
        for (auto& part : without_transfers(entry, state.m_ownership.m_transfers))
            result.push_back(std::move(part));
    }
    return result;
}

void open_next_connection(grant_connection& connection)
{
    ++connection.m_number;
    connection.m_command_id = 0;
    connection.m_has_responded = false;
}

/// Returns whether the connection is free for a grant. A grant in flight that exceeds its timeout
/// is abandoned together with its connection.
bool prepare_connection(grant_connection& connection, std::size_t waiting, time_point now)
{
    if (now < connection.m_next_attempt_at)
        return false;
    const duration timeout = std::max(min_grant_response_timeout,
                                      grant_response_timeout / static_cast<duration::rep>(waiting));
    if (connection.m_command_id != 0 && now - connection.m_command_sent_at >= timeout)
        open_next_connection(connection);
    return connection.m_command_id == 0;
}

/// Switches the connection to the server's address. Returns false while a server at the previous
/// address may still hold keys.
bool prepare_address(step_context& context)
{
    key_ownership& keys = context.m_state.m_ownership;
    const std::string& address = context.m_state.m_backend->m_announcement.m_address;
    if (keys.m_connection.m_address == address)
        return true;
    if (!keys.m_connection.m_address.empty() &&
        key_ranges::may_be_leased(keys.m_grants, 0, key_ranges::max_key, context.m_now,
                                  context.m_state.m_options.m_leases))
        return false;
    keys.m_connection.m_address = address;
    open_next_connection(keys.m_connection);
    return true;
}

void send_grant(step_context& context, std::uint32_t from, range_lease& lease)
{
    node_state& state = context.m_state;
    grant_connection& connection = state.m_ownership.m_connection;
    const backend_announcement& server = state.m_backend->m_announcement;
    lease.m_command_id = connection.m_command_id = state.m_next_command_id++;
    lease.m_command_sent_at = connection.m_command_sent_at = context.m_now;
    lease.m_connection = connection.m_number;
    key_ranges::record_grant(state.m_ownership.m_grants, lease.m_command_id, from, lease.m_to,
                             context.m_now);
    emit(context, grant_keys{lease.m_command_id, connection.m_number, server.m_id, server.m_address,
                             from, lease.m_to,
                             key_ranges::fencing_token(lease.m_fencing_token, connection.m_number),
                             state.m_options.m_leases.m_lease_duration, lease.m_handover});
}

bool is_due(range_lease& lease, time_point now, const key_ranges::key_lease_options& options)
{
    if (lease.m_command_id != 0 && now - lease.m_command_sent_at >= grant_resend_timeout)
        lease.m_command_id = 0;
    return lease.m_command_id == 0 && now >= lease.m_next_grant_at &&
           (lease.m_granted_at == time_point{} ||
            now - lease.m_granted_at >= options.m_renew_interval);
}

/// Sends the grant of the lease that expires first, if any is due for renewal.
void renew_leases(step_context& context)
{
    node_state& state = context.m_state;
    const auto& options = state.m_options.m_leases;
    const auto table = state.m_tables.find(local_keyed_service(state));
    if (table == state.m_tables.end() || !state.m_backend ||
        !key_ranges::may_renew_lease(table->second.m_confirmed_at, context.m_now, options))
        return;
    key_ownership& keys = state.m_ownership;
    auto urgent = keys.m_leases.end();
    std::size_t waiting = 0;
    for (auto lease = keys.m_leases.begin(); lease != keys.m_leases.end(); ++lease) {
        if (!is_due(lease->second, context.m_now, options))
            continue;
        ++waiting;
        if (urgent == keys.m_leases.end() ||
            lease->second.m_granted_at < urgent->second.m_granted_at)
            urgent = lease;
    }
    if (waiting == 0 || !prepare_address(context) ||
        !prepare_connection(keys.m_connection, waiting, context.m_now))
        return;
    // After a change of the connection epoch the table needs new fencing tokens first.
    if (keys.m_leases_epoch == key_ranges::connection_epoch(keys.m_connection.m_number))
        send_grant(context, urgent->first, urgent->second);
}

void update_grant_connection(step_context& context, const key_command_ended& ended)
{
    key_ownership& keys = context.m_state.m_ownership;
    if (ended.m_result == key_command_result::accepted)
        key_ranges::record_accepted_grant(keys.m_grants, ended.m_command_id);
    else if (ended.m_result == key_command_result::not_sent)
        key_ranges::remove_unsent_grant(keys.m_grants, ended.m_command_id);
    if (keys.m_connection.m_command_id != ended.m_command_id)
        return;
    keys.m_connection.m_command_id = 0;
    if (ended.m_result == key_command_result::accepted ||
        ended.m_result == key_command_result::refused) {
        keys.m_connection.m_has_responded = true;
        return;
    }
    // A connection that has worked may be closed at any time, so the next one is tried at once.
    if (!keys.m_connection.m_has_responded)
        keys.m_connection.m_next_attempt_at = context.m_now + grant_retry_delay;
    open_next_connection(keys.m_connection);
}

} // namespace

bool has_key_lease(const node_state& state, std::uint32_t key, time_point now)
{
    const auto& leases = state.m_ownership.m_leases;
    auto after = leases.upper_bound(key);
    if (after == leases.begin())
        return false;
    const range_lease& lease = std::prev(after)->second;
    return key <= lease.m_to && lease.m_granted_at != time_point{} &&
           now < lease.m_granted_at + state.m_options.m_leases.m_lease_duration - serving_margin;
}

std::vector<key_ranges::range_claim> entitled_ranges(const node_state& state, time_point now)
{
    std::vector<key_ranges::range_claim> result;
    const auto table = state.m_tables.find(local_keyed_service(state));
    if (table == state.m_tables.end() ||
        !key_ranges::may_renew_lease(table->second.m_confirmed_at, now, state.m_options.m_leases))
        return result;
    for (const auto& lease : required_leases(state))
        result.push_back({lease.m_from, lease.m_to});
    return result;
}

void clear_range_leases(step_context& context)
{
    // Transfers are retained until the table shows their end, because the store may still apply a
    // write of them.
    context.m_state.m_ownership.m_leases.clear();
}

void on_key_command_ended(step_context& context, const key_command_ended& ended)
{
    key_ownership& keys = context.m_state.m_ownership;
    update_grant_connection(context, ended);
    for (auto& [from, lease] : keys.m_leases) {
        if (lease.m_command_id != ended.m_command_id)
            continue;
        lease.m_command_id = 0;
        if (ended.m_result == key_command_result::accepted) {
            const bool first = lease.m_granted_at == time_point{};
            lease.m_granted_at = lease.m_command_sent_at;
            lease.m_handover.clear();
            if (first)
                log(context, log_level::info, "keys_granted",
                    {{"from", from},
                     {"to", lease.m_to},
                     {"fence", lease.m_fencing_token},
                     {"order", ended.m_command_id},
                     {"connection", lease.m_connection},
                     {"backend", local_backend_id(context.m_state)}});
        } else {
            if (ended.m_result != key_command_result::not_sent)
                lease.m_next_grant_at = context.m_now + grant_retry_delay;
            log(context, log_level::warning, "grant_failed",
                {{"from", from},
                 {"to", lease.m_to},
                 {"fence", lease.m_fencing_token},
                 {"order", ended.m_command_id},
                 {"connection", lease.m_connection},
                 {"backend", local_backend_id(context.m_state)},
                 {"sent_us_ago", (context.m_now - lease.m_command_sent_at).count()},
                 {"result", std::string(find_enum_name(key_command_result_names, ended.m_result))},
                 {"cause", ended.m_cause}});
        }
        if (ended.m_backend_replaced)
            on_backend_replaced(context);
        else
            renew_leases(context);
        return;
    }
    for (auto& transfer : keys.m_transfers) {
        if (transfer.m_command_id != ended.m_command_id)
            continue;
        transfer.m_command_id = 0;
        if (ended.m_result != key_command_result::accepted) {
            log(context, log_level::warning, "release_failed",
                {{"from", transfer.m_from},
                 {"to", transfer.m_to},
                 {"fence", transfer.m_fencing_token},
                 {"order", ended.m_command_id},
                 {"result", std::string(find_enum_name(key_command_result_names, ended.m_result))},
                 {"cause", ended.m_cause}});
            return;
        }
        transfer.m_released = true;
        transfer.m_handover = ended.m_handover;
        log(context, log_level::info, "keys_released",
            {{"from", transfer.m_from},
             {"to", transfer.m_to},
             {"fence", transfer.m_fencing_token},
             {"order", ended.m_command_id},
             {"elapsed_us", (context.m_now - transfer.m_command_sent_at).count()},
             {"has_handover", !ended.m_handover.empty()},
             {"cause", ended.m_cause},
             {"may_be_granted_late",
              key_ranges::may_be_granted_late(keys.m_grants, transfer.m_from, transfer.m_to,
                                              context.m_now, context.m_state.m_options.m_leases)}});
        check_tables(context);
        return;
    }
}

void check_range_leases(step_context& context)
{
    node_state& state = context.m_state;
    key_ownership& keys = state.m_ownership;
    key_ranges::remove_expired_grants(keys.m_grants, context.m_now, state.m_options.m_leases);
    const std::vector<required_lease> required = required_leases(state);
    std::map<std::uint32_t, range_lease> leases;
    for (const auto& part : required) {
        const auto known = keys.m_leases.find(part.m_from);
        range_lease lease;
        if (known != keys.m_leases.end() && known->second.m_fencing_token == part.m_fencing_token) {
            lease = known->second;
            // The lease was longer before, so a command in flight covers other keys.
            if (lease.m_to != part.m_to)
                lease.m_command_id = 0;
        } else {
            lease.m_handover = part.m_handover;
            // The rest of a range whose first part is in transfer keeps its times.
            for (const auto& [from, former] : keys.m_leases) {
                if (former.m_fencing_token != part.m_fencing_token || from > part.m_from ||
                    former.m_to < part.m_to)
                    continue;
                lease = former;
                lease.m_command_id = 0;
            }
        }
        lease.m_fencing_token = part.m_fencing_token;
        lease.m_to = part.m_to;
        leases[part.m_from] = lease;
    }
    keys.m_leases = std::move(leases);
    keys.m_leases_epoch = key_ranges::connection_epoch(keys.m_connection.m_number);
    renew_leases(context);
}

} // namespace azureladder::sidecar
