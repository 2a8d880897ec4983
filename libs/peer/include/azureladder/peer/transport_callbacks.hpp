#pragma once

#include <azureladder/wire/envelope.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace azureladder::peer {

/// Id of a frame in one transport. Never reused; zero is no frame.
using frame_id = std::uint64_t;

/// Called on the thread of the io_context; from within a call of the transport only by
/// `receive_pending`.
struct transport_callbacks
{
    /// A message was received.
    std::function<void(const wire::envelope&, wire::channel)> m_on_envelope;

    /// Delivery of a tracked frame failed or is unknown. `nothing_was_sent` is true when no byte of
    /// it was written. Not called after `frame_done`.
    std::function<void(frame_id, bool nothing_was_sent)> m_on_frame_failed;

    /// A datagram or frame was dropped. Not rate limited. May be empty.
    std::function<void(wire::channel, const std::string& reason)> m_on_dropped;
};

} // namespace azureladder::peer
