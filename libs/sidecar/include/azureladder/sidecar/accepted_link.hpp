#pragma once

#include <azureladder/sidecar/frame_delay.hpp>

#include <cstdint>

namespace azureladder::sidecar {

/// Connection that a peer has opened to this node, and over which it sends its requests.
struct accepted_link
{
    /// Incarnation of the process that has opened the connection.
    std::uint64_t m_incarnation = 0;

    /// Time of the newest frame. A peer with open requests here pings more often than its silence
    /// is tolerated.
    time_point m_last_frame_at;
    frame_delay_estimate m_delay;
};

} // namespace azureladder::sidecar
