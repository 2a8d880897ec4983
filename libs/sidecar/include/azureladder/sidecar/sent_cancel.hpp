#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>

namespace azureladder::sidecar {

/// Cancel of a request at a peer, retained until the peer has confirmed that it received it.
struct sent_cancel
{
    /// Frame id of the cancelled request.
    std::uint64_t m_frame = 0;
    time_point m_sent_at;

    /// Deadline of the request, after which the peer ends it by itself.
    time_point m_deadline;
};

} // namespace azureladder::sidecar
