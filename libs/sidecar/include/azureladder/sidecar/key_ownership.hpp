#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/key_ranges/grant_history.hpp>
#include <azureladder/key_ranges/key_load.hpp>
#include <azureladder/key_ranges/owner_load.hpp>
#include <azureladder/key_ranges/range_table_change.hpp>
#include <azureladder/sidecar/grant_connection.hpp>
#include <azureladder/sidecar/peer_frame.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace azureladder::sidecar {

/// Times by name of a node.
using owner_times = std::map<std::string, time_point>;

/// Newest revision of a service's range table that this node has received.
struct received_table
{
    std::uint64_t m_revision = 0;
    key_ranges::range_table m_table;
    key_ranges::range_table_history m_history;

    /// Incarnations that the active ranges of each owner are bound to, by node.
    std::map<std::string, std::set<std::string>> m_owners;

    /// Some ranges are being taken over.
    bool m_has_takeovers = false;

    /// Some ranges are not confirmed in the era of the table.
    bool m_has_unconfirmed = false;

    /// Owners named by refusals. A hint is used only if its fencing token is newer than that of the
    /// table.
    std::vector<owner_hint> m_hints;

    /// Start of the newest read or write that confirmed this revision as the store's current one.
    time_point m_confirmed_at;
};

/// Lease of a key range that this node grants to its backend server.
struct range_lease
{
    std::uint32_t m_to = 0;
    std::uint64_t m_fencing_token = 0;
    std::string m_handover;

    /// Command in flight, 0 while there is none, and the connection that carried the newest one.
    std::uint64_t m_command_id = 0;
    std::uint64_t m_connection = 0;
    time_point m_command_sent_at;

    /// Send time of the newest grant that the backend server accepted.
    time_point m_granted_at;

    /// Earliest time of the next grant after a failed one.
    time_point m_next_grant_at;
};

/// Transfer of a part of a range to another node.
struct range_transfer
{
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;
    std::uint64_t m_fencing_token = 0;
    std::string m_target;

    std::uint64_t m_command_id = 0;
    time_point m_command_sent_at;

    /// The backend server has released the keys, or its lease on them has expired.
    bool m_released = false;
    std::string m_handover;

    /// Time at which the confirming owner was asked to write the transfer; unset before.
    time_point m_delegated_at;
};

/// Transfer that another owner has asked this node to write.
struct delegated_transfer
{
    std::string m_origin;
    released_keys m_released;
    time_point m_received_at;
};

/// Table of a newer era than the one in effect, before this node has claimed its ranges in it.
struct table_of_new_era
{
    /// Revision number 0 if the table does not exist yet.
    std::uint64_t m_revision = 0;
    key_ranges::range_table m_table;
    time_point m_confirmed_at;

    /// Time of the claim. Owners claim one after the other to avoid conflicts.
    time_point m_claim_at;
};

/// Key ranges of the local backend server and pending changes of the range table.
struct key_ownership
{
    /// Range leases by first key.
    std::map<std::uint32_t, range_lease> m_leases;

    /// Connection epoch that the fencing tokens of the leases belong to.
    std::uint64_t m_leases_epoch = 0;

    /// Grants that this process or its predecessor sent to any incarnation of the server at the
    /// address.
    key_ranges::grant_history m_grants;

    grant_connection m_connection;

    std::vector<range_transfer> m_transfers;
    std::vector<delegated_transfer> m_delegated_transfers;
    key_ranges::key_load m_load;
    double m_arrival_count = 0.0;

    /// Load and speed of the local backend server by requests with keys, and the earliest time of
    /// the next moves because of them.
    key_ranges::owner_load m_owner_load;
    time_point m_next_placement_at;

    /// Time at which this node first received a table with a range that it is taking over, by
    /// fencing token.
    std::map<std::uint64_t, time_point> m_takeover_started_at;

    /// Time since which an owner has been unreachable.
    owner_times m_owner_unreachable_since;

    /// Time since which a reachable owner has had no fencing tokens for its current incarnation.
    owner_times m_owner_unbound_since;

    bool m_reading = false;
    bool m_writing = false;
    time_point m_next_read_at;
    time_point m_next_write_at;

    /// Time of the next comparison of the table with the state of the owners.
    time_point m_next_table_check_at;
    time_point m_next_balance_at;
    key_ranges::range_table m_proposed;

    /// The newest read found no table in the store.
    bool m_table_absent = false;

    std::optional<table_of_new_era> m_new_era;
};

} // namespace azureladder::sidecar
