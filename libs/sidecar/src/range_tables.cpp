#include "range_table_changes.hpp"

#include <azureladder/key_ranges/lease_rules.hpp>
#include <azureladder/key_ranges/range_table_json.hpp>
#include <azureladder/key_ranges/store_revision.hpp>
#include <azureladder/sidecar/step.hpp>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

using key_ranges::range_state;
using key_ranges::range_table;

/// Interval between pings that request the confirmation age from the confirming owner.
constexpr duration confirmation_ping_interval = milliseconds(300);

/// Delay before the next write after a write conflict.
constexpr duration conflict_retry_delay = milliseconds(10);

/// Time for which a member waits for a new table from its creator before it reads the store.
constexpr duration created_table_timeout = milliseconds(1000);

/// Revisions whose changes are sent to the other owners after a write. With more than one, an owner
/// that has not received the previous writer's changes yet can use them.
constexpr std::size_t pushed_revisions = 2;

/// Interval between comparisons of the table with the state of its owners, which cost time in
/// proportion to their number. Changes of this node itself and of the table are checked at once.
constexpr duration table_check_interval = milliseconds(100);

/// Time for which requests of other owners to write a transfer are retained.
constexpr duration delegated_transfer_retention = seconds(2);

received_table* local_table(node_state& state)
{
    const auto found = state.m_tables.find(local_keyed_service(state));
    return found == state.m_tables.end() ? nullptr : &found->second;
}

/// Records the time at which this node received each of its takeovers, and removes ended ones.
void update_takeovers(step_context& context, const range_table& table)
{
    auto& takeover_started_at = context.m_state.m_ownership.m_takeover_started_at;
    std::map<std::uint64_t, time_point> present;
    for (const auto& entry : table.m_entries) {
        if (entry.m_state != range_state::taking_over ||
            entry.m_owner != context.m_state.m_options.m_node)
            continue;
        const auto known = takeover_started_at.find(entry.m_fencing_token);
        present[entry.m_fencing_token] =
            known == takeover_started_at.end() ? context.m_now : known->second;
    }
    takeover_started_at = std::move(present);
}

/// Fills the fields that follow from the table.
void index_owners(received_table& table)
{
    table.m_owners.clear();
    table.m_has_takeovers = false;
    table.m_has_unconfirmed = false;
    const std::uint64_t era = key_ranges::era_of(table.m_revision);
    for (const auto& entry : table.m_table.m_entries) {
        if (entry.m_era != era)
            table.m_has_unconfirmed = true;
        auto& incarnations = table.m_owners[entry.m_owner];
        if (entry.m_state == range_state::active)
            incarnations.insert(entry.m_server_incarnation);
        else
            table.m_has_takeovers = true;
    }
}

/// Creates the first table, divided among the members connected by then. Only the first member by
/// name writes it.
void create_table(step_context& context, const std::string& service)
{
    node_state& state = context.m_state;
    const auto owners = eligible_owners(state, service, context.m_now);
    const bool first = !owners.empty() && owners.begin()->first == state.m_options.m_node;
    if (!first || !accepts_requests(state, context.m_now) ||
        context.m_now - state.m_started_at < state.m_options.m_table_creation_delay)
        return;
    std::vector<key_ranges::range_owner> members;
    members.reserve(owners.size());
    for (const auto& [node, incarnation] : owners)
        members.push_back({node, incarnation});
    write_proposed_table(context, service, key_ranges::store_revision(state.m_store_era, 0),
                         key_ranges::make_range_table(members), "created");
}

/// The reachable owner that comes first by name. It reads the store on behalf of all owners.
std::string confirming_owner(const node_state& state, const received_table& table, time_point now)
{
    for (const auto& [owner, incarnations] : table.m_owners) {
        if (is_reachable(state, owner, now))
            return owner;
    }
    return {};
}

/// Asks the confirming owner to write the transfers of this node that are ready.
void delegate_transfers(step_context& context, const std::string& service,
                        const received_table& table)
{
    node_state& state = context.m_state;
    auto& transfers = state.m_ownership.m_transfers;
    const auto is_due = [&](const range_transfer& transfer) {
        return transfer.m_delegated_at == time_point{} && is_ready(state, transfer, context.m_now);
    };
    if (std::none_of(transfers.begin(), transfers.end(), is_due))
        return;
    const std::string writer = confirming_owner(state, table, context.m_now);
    if (writer.empty() || writer == state.m_options.m_node)
        return;
    released_keys_frame frame;
    frame.m_service = service;
    for (auto& transfer : transfers) {
        if (!is_due(transfer))
            continue;
        transfer.m_delegated_at = context.m_now;
        frame.m_released.push_back(release_of(transfer));
    }
    send_to_node(context, writer, std::move(frame));
}

/// Removes requests of other owners that have been carried out or are too old.
void remove_obsolete_delegations(step_context& context, const range_table& table)
{
    auto& delegated = context.m_state.m_ownership.m_delegated_transfers;
    const auto is_obsolete = [&](const delegated_transfer& transfer) {
        const auto* entry = key_ranges::find_range(table, transfer.m_released.m_from);
        return entry == nullptr || entry->m_owner != transfer.m_origin ||
               entry->m_fencing_token != transfer.m_released.m_fencing_token ||
               context.m_now - transfer.m_received_at > delegated_transfer_retention;
    };
    delegated.erase(std::remove_if(delegated.begin(), delegated.end(), is_obsolete),
                    delegated.end());
}

void read_if_due(step_context& context, const std::string& service, const received_table* table)
{
    node_state& state = context.m_state;
    key_ownership& keys = state.m_ownership;
    if (keys.m_reading || keys.m_writing || context.m_now < keys.m_next_read_at)
        return;
    const bool is_of_former_era = table != nullptr && !keys.m_new_era &&
                                  key_ranges::era_of(table->m_revision) < state.m_store_era;
    if (table != nullptr && !is_of_former_era) {
        const duration validity = state.m_options.m_leases.m_confirmation_validity;
        const duration age = context.m_now - table->m_confirmed_at;
        if (age <= validity / 3)
            return;
        const std::string confirming = confirming_owner(state, *table, context.m_now);
        const auto peer = state.m_peers.find(confirming);
        if (peer != state.m_peers.end() && age <= validity / 2) {
            if (!peer->second.m_ping_pending &&
                context.m_now - peer->second.m_ping_sent_at >= confirmation_ping_interval)
                ping(context, peer->second);
            return;
        }
    }
    keys.m_reading = true;
    emit(context, read_table{service});
}

/// Sends the changes of a written table to the peers that may own ranges. Nobody serves transferred
/// keys until their new owners have received them.
void send_table_to_owners(step_context& context, const std::string& service)
{
    node_state& state = context.m_state;
    const received_table& table = state.m_tables.at(service);
    const auto& revisions = table.m_history.m_revisions;
    const std::uint64_t base = revisions.size() > pushed_revisions
                                   ? revisions[revisions.size() - 1 - pushed_revisions]
                                   : revisions.front();
    const document_frame frame = make_table_frame(service, table, base);
    for (const auto& [node, peer] : state.m_peers) {
        if (peer.m_link != 0 && peer.m_handshake_complete && peer.m_status.m_service == service)
            send_on_link(context, peer.m_link, frame);
    }
}

/// Randomizes a delay. Spreads the store calls of the members, so that one read confirms the table
/// for all of them.
duration with_jitter(step_context& context, duration base)
{
    return base + duration(static_cast<duration::rep>(context.m_state.m_random() %
                                                      static_cast<std::uint64_t>(base.count())));
}

} // namespace

std::string local_keyed_service(const node_state& state)
{
    const std::string& name = local_service(state);
    const auto* service = find_service(state, name);
    return service != nullptr && service->m_is_sharded ? name : std::string();
}

std::map<std::string, std::string> eligible_owners(const node_state& state,
                                                   const std::string& service, time_point now)
{
    std::map<std::string, std::string> owners;
    if (local_keyed_service(state) == service && accepts_requests(state, now))
        owners[state.m_options.m_node] = local_owner_incarnation(state);
    for (const auto& [node, peer] : state.m_peers) {
        if (is_usable(state, peer, now) && peer.m_status.m_service == service &&
            peer.m_status.m_report.m_open && !peer.m_status.m_leaving &&
            !peer.m_status.m_server_incarnation.empty())
            owners[node] = peer.m_status.m_server_incarnation;
    }
    return owners;
}

void write_proposed_table(step_context& context, const std::string& service,
                          std::uint64_t expected_revision, range_table table, const char* reason)
{
    key_ownership& keys = context.m_state.m_ownership;
    keys.m_writing = true;
    keys.m_proposed = std::move(table);
    log(context, log_level::info, "table_proposed",
        {{"service", service}, {"expected_revision", expected_revision}, {"reason", reason}});
    emit(context,
         write_table{service, expected_revision, key_ranges::to_json_text(keys.m_proposed)});
}

void install_table(step_context& context, const std::string& service, std::uint64_t revision,
                   const key_ranges::range_table& table, time_point confirmed_at,
                   const char* source)
{
    if (!retain_for_claim(context, service, revision, table, confirmed_at))
        put_table_in_effect(context, service, revision, table, confirmed_at, source);
}

void put_table_in_effect(step_context& context, const std::string& service, std::uint64_t revision,
                         const key_ranges::range_table& table, time_point confirmed_at,
                         const char* source)
{
    node_state& state = context.m_state;
    received_table& installed = state.m_tables[service];
    if (revision <= installed.m_revision) {
        if (revision == installed.m_revision)
            installed.m_confirmed_at = std::max(installed.m_confirmed_at, confirmed_at);
        return;
    }
    key_ranges::record_revision(installed.m_history, installed.m_table, table, revision);
    installed.m_revision = revision;
    installed.m_table = table;
    index_owners(installed);
    installed.m_confirmed_at = std::max(installed.m_confirmed_at, confirmed_at);
    log(context, log_level::info, "table_in_force",
        {{"service", service},
         {"revision", revision},
         {"ranges", table.m_entries.size()},
         {"source", source}});
    if (service == local_keyed_service(state)) {
        state.m_ownership.m_next_table_check_at = context.m_now;
        update_takeovers(context, installed.m_table);
        check_range_transfers(context);
        check_range_leases(context);
    }
    retry_waiting_requests(context);
}

void install_table(step_context& context, const std::string& service, std::uint64_t revision,
                   const std::string& text, time_point confirmed_at, const char* source)
{
    const auto known = context.m_state.m_tables.find(service);
    if (known != context.m_state.m_tables.end() && revision <= known->second.m_revision) {
        install_table(context, service, revision, known->second.m_table, confirmed_at, source);
        return;
    }
    if (const auto table = key_ranges::parse_range_table(text))
        install_table(context, service, revision, *table, confirmed_at, source);
    else
        log(context, log_level::error, "table_unreadable",
            {{"service", service}, {"revision", revision}});
}

document_frame make_table_frame(const std::string& service, const received_table& table,
                                std::uint64_t known_revision)
{
    document_frame frame;
    frame.m_name = table_document(service);
    frame.m_revision = table.m_revision;
    const auto change = key_ranges::change_since(table.m_history, table.m_table, known_revision);
    if (change) {
        frame.m_base_revision = known_revision;
        frame.m_text = key_ranges::to_json_text(*change);
    } else {
        frame.m_text = key_ranges::to_json_text(table.m_table);
    }
    return frame;
}

void on_table_read(step_context& context, const table_read& read)
{
    key_ownership& keys = context.m_state.m_ownership;
    const auto& options = context.m_state.m_options;
    keys.m_reading = false;
    if (!read.m_succeeded) {
        keys.m_next_read_at = context.m_now + with_jitter(context, options.m_store_retry);
        return;
    }
    keys.m_next_read_at = context.m_now + with_jitter(context, options.m_store_retry / 2);
    on_store_era(context, key_ranges::era_of(read.m_revision));
    keys.m_table_absent = key_ranges::number_of(read.m_revision) == 0;
    if (keys.m_table_absent && begin_table_of_new_era(context, read))
        return;
    if (!keys.m_table_absent) {
        install_table(context, read.m_service, read.m_revision, read.m_text, read.m_sent_at,
                      "store");
        return;
    }
    // The member that creates the table sends it to the others.
    keys.m_next_read_at =
        std::max(context.m_now, context.m_state.m_started_at + options.m_table_creation_delay) +
        with_jitter(context, created_table_timeout);
}

void on_table_written(step_context& context, const table_written& written)
{
    key_ownership& keys = context.m_state.m_ownership;
    keys.m_writing = false;
    log(context, log_level::info, "table_write_ended",
        {{"service", written.m_service},
         {"result", written.m_result == write_result::written
                        ? "written"
                        : (written.m_result == write_result::conflict ? "conflict" : "unknown")},
         {"revision", written.m_revision}});
    if (written.m_result == write_result::written) {
        keys.m_table_absent = false;
        put_table_in_effect(context, written.m_service, written.m_revision, keys.m_proposed,
                            written.m_sent_at, "own write");
        if (keys.m_new_era) {
            // Another owner may have written meanwhile.
            const table_of_new_era newer = std::move(*keys.m_new_era);
            keys.m_new_era.reset();
            install_table(context, written.m_service, newer.m_revision, newer.m_table,
                          newer.m_confirmed_at, "new era");
        }
        // Nodes of other services are redirected by refusals.
        send_table_to_owners(context, written.m_service);
        return;
    }
    if (written.m_result == write_result::conflict && !written.m_text.empty()) {
        install_table(context, written.m_service, written.m_revision, written.m_text,
                      written.m_sent_at, "conflict");
        keys.m_next_write_at = context.m_now + with_jitter(context, conflict_retry_delay);
        return;
    }
    // Reads before the next write, because this write or one of another member may have taken
    // effect.
    keys.m_next_write_at = context.m_now + context.m_state.m_options.m_store_retry;
    if (!keys.m_reading) {
        keys.m_reading = true;
        emit(context, read_table{written.m_service});
    }
}

void on_released_keys(step_context& context, const std::string& origin,
                      const released_keys_frame& frame)
{
    if (frame.m_service != local_keyed_service(context.m_state))
        return;
    for (const auto& released : frame.m_released)
        context.m_state.m_ownership.m_delegated_transfers.push_back(
            {origin, released, context.m_now});
    check_tables(context);
}

void check_tables(step_context& context)
{
    node_state& state = context.m_state;
    const std::string service = local_keyed_service(state);
    if (service.empty())
        return;
    key_ownership& keys = state.m_ownership;
    received_table* table = local_table(state);
    read_if_due(context, service, table);
    if (table != nullptr) {
        delegate_transfers(context, service, *table);
        if (!keys.m_delegated_transfers.empty())
            remove_obsolete_delegations(context, table->m_table);
    }
    if (keys.m_writing || keys.m_reading || context.m_now < keys.m_next_write_at ||
        claim_ranges(context, service))
        return;
    table = local_table(state);
    if (table == nullptr) {
        if (keys.m_table_absent)
            create_table(context, service);
        return;
    }
    if (!has_transfer_to_write(state, context.m_now) && context.m_now < keys.m_next_table_check_at)
        return;
    keys.m_next_table_check_at = context.m_now + table_check_interval;
    const auto members = eligible_owners(state, service, context.m_now);
    if (!may_need_change(state, members, *table, context.m_now)) {
        keys.m_owner_unreachable_since.clear();
        keys.m_owner_unbound_since.clear();
        return;
    }
    range_table wanted = desired_table(context, members, table->m_table);
    if (wanted.m_entries == table->m_table.m_entries)
        return;
    key_ranges::merge_adjacent_ranges(
        wanted, state.m_options.m_node,
        std::max(state.m_options.m_max_ranges,
                 state.m_options.m_max_ranges_per_owner * table->m_owners.size()));
    write_proposed_table(context, service, table->m_revision, std::move(wanted), "changed");
}

} // namespace azureladder::sidecar
