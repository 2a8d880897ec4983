#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/wire/envelope.hpp>

#include <cstddef>

namespace azureladder::peer {

struct transport_options
{
    /// Address on which datagrams and links are received. Port 0 lets the kernel choose one port
    /// for both.
    endpoint m_listen{"127.0.0.1", 0};

    /// Address under which other nodes reach this one; the listen address when its host is empty.
    /// Port 0 is replaced by the listening port.
    endpoint m_advertised;

    /// Largest frame that is sent or accepted.
    std::size_t m_max_frame_bytes = wire::max_frame_bytes;

    /// Largest number of bytes queued on one link; frames above it fail.
    std::size_t m_max_queue_bytes = std::size_t(8) * 1'024 * 1'024;

    /// Longest time for opening a link, and so the longest time a frame is queued before it is
    /// written.
    duration m_connect_timeout = seconds(1);

    /// An unused link is closed after this time. An incoming link without traffic for twice this
    /// time is closed, because its peer has failed without closing it.
    duration m_idle_timeout = seconds(60);

    /// Time between pings while replies are awaited.
    duration m_ping_interval = milliseconds(500);

    /// A link on which replies are awaited is lost after this time without a reply or pong.
    duration m_peer_timeout = milliseconds(1'500);

    /// Time without connection attempts after a link was lost; doubles with each failed attempt.
    duration m_initial_backoff = milliseconds(50);
    duration m_max_backoff = seconds(2);
};

} // namespace azureladder::peer
