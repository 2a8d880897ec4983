#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/sidecar/peer_frame.hpp>

#include <array>
#include <cstdint>

namespace azureladder::sidecar_runtime {

/// Frames of one kind that were sent to all peers.
struct frame_traffic
{
    std::uint64_t m_frames = 0;
    std::uint64_t m_bytes = 0;

    /// Longest and total time from the queueing of a frame until the system has taken its last
    /// byte.
    duration m_max_wait{};
    duration m_total_wait{};
};

/// Traffic by frame kind, in the order of the variant `peer_frame`.
using peer_traffic = std::array<frame_traffic, sidecar::frame_kind_count>;

} // namespace azureladder::sidecar_runtime
