#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/key_ranges/grant_history.hpp>
#include <azureladder/key_ranges/key_load.hpp>
#include <azureladder/key_ranges/range_table.hpp>
#include <azureladder/sidecar/order_connection.hpp>
#include <azureladder/sidecar/peer_frame.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace azureladder::sidecar {

/// Times by name of a node.
using owner_times = std::map<std::string, time_point>;

/// The range table of one service as this node knows it.
struct known_table
{
    std::uint64_t m_revision = 0;
    key_ranges::range_table m_table;
    std::string m_text;

    /// Owners that refusals have named since this revision.
    std::vector<owner_hint> m_hints;

    /// Start of the newest read or write that showed the store's table to be the known one.
    time_point m_confirmed_at;
};

/// A range that this node has granted to its backend server.
struct range_hold
{
    std::uint32_t m_to = 0;
    std::uint64_t m_fence = 0;
    std::string m_handover;

    /// Order under way, 0 while there is none, and the connection of the newest one.
    std::uint64_t m_order = 0;
    std::uint64_t m_connection = 0;
    time_point m_order_sent;

    /// Start of the newest grant that the backend server accepted.
    time_point m_granted_at;

    /// Earliest time of the next grant, after one that was not accepted.
    time_point m_next_grant;
};

/// A part of a range on its way to another node.
struct range_move
{
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;
    std::uint64_t m_fence = 0;
    std::string m_target;

    std::uint64_t m_order = 0;
    time_point m_order_sent;

    /// The backend server has released the keys, or its hold has ended.
    bool m_released = false;
    std::string m_handover;
};

/// Ranges at the backend server of this node, and their changes.
struct key_ownership
{
    /// Holds by first key.
    std::map<std::uint32_t, range_hold> m_holds;

    /// Epoch of the connection number for which the holds have tokens.
    std::uint64_t m_holds_epoch = 0;

    /// Grants to any life of the server at the address, of this process and of its predecessor.
    key_ranges::grant_history m_grants;

    order_connection m_connection;

    std::vector<range_move> m_moves;
    key_ranges::key_load m_load;
    double m_arrivals = 0.0;

    /// When this node learned of claimed ranges of its own, by fencing token.
    std::map<std::uint64_t, time_point> m_claimed_at;

    /// Since when an owner has given no sign of life.
    owner_times m_owner_lost_at;

    /// Since when an owner has lived without tokens for its present life.
    owner_times m_owner_unbound_at;

    bool m_reading = false;
    bool m_writing = false;
    time_point m_next_read;
    time_point m_next_write;
    time_point m_next_balance;
    key_ranges::range_table m_proposed;
    std::string m_proposed_text;

    /// The table does not exist in the store; since when.
    bool m_absent = false;
};

} // namespace azureladder::sidecar
