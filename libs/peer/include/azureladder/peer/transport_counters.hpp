#pragma once

#include <cstdint>

namespace azureladder::peer {

/// Counters of a transport since its start.
struct transport_counters
{
    std::uint64_t m_datagrams_sent = 0;
    std::uint64_t m_datagrams_received = 0;
    std::uint64_t m_datagrams_dropped = 0;
    std::uint64_t m_frames_sent = 0;
    std::uint64_t m_frames_received = 0;
    std::uint64_t m_frames_dropped = 0;
    std::uint64_t m_frames_failed = 0;
    std::uint64_t m_bytes_sent = 0;
    std::uint64_t m_bytes_received = 0;
    std::uint64_t m_links_opened = 0;
    std::uint64_t m_links_lost = 0;
};

} // namespace azureladder::peer
