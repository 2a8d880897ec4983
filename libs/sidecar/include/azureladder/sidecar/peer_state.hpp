#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/sidecar/peer_frame.hpp>
#include <azureladder/sidecar/sent_cancel.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace azureladder::sidecar {

/// Connection and last reported status of another node.
struct peer_state
{
    std::string m_address;
    std::string m_zone;
    std::uint64_t m_incarnation = 0;

    /// Outgoing connection to the peer; 0 while there is none.
    std::uint64_t m_link = 0;
    bool m_connecting = false;
    time_point m_next_connect_at;
    duration m_connect_backoff{};

    /// The peer has sent its hello frame on the connection.
    bool m_handshake_complete = false;

    node_status m_status;
    time_point m_reported_at;
    std::uint32_t m_open_requests = 0;
    std::uint32_t m_sent_since_status = 0;

    /// Departures that the current and previous processes of the peer have reported or stored.
    departed_servers m_departed_servers;

    /// Cancels that the peer may not have received, oldest first. A response to a later ping
    /// confirms them, because cancels and pings of a connection arrive in order.
    std::deque<sent_cancel> m_unconfirmed_cancels;

    std::uint64_t m_ping_sequence = 0;
    time_point m_ping_sent_at;
    bool m_ping_pending = false;
    duration m_round_trip = milliseconds(2);

    time_point m_discovered_at;

    /// Time of the newest activity: discovery, connection, or a frame received from the peer.
    time_point m_last_activity_at;
};

} // namespace azureladder::sidecar
