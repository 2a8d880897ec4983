#pragma once

#include <azureladder/base/clock.hpp>
#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/result.hpp>
#include <azureladder/peer/transport_callbacks.hpp>
#include <azureladder/peer/transport_counters.hpp>
#include <azureladder/peer/transport_error.hpp>
#include <azureladder/peer/transport_options.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace azureladder::peer {

/// Datagrams and links to other nodes. One UDP socket and one websocket listener share a port.
/// Frames to a node are sent on a link that this node opens on demand; the other node sends only
/// control frames on it. A reply is a frame of the receiver to the reply address of the envelope.
///
/// Not thread safe: all calls and callbacks belong to the thread that runs the io_context. The
/// io_context and the clock must outlive the transport.
class transport
{
public:
    transport(boost::asio::io_context& context, const clock& time, const transport_options& options,
              transport_callbacks callbacks);
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Stops. No callback is called afterwards.
    ~transport();

    /// Opens the listening sockets. Must be called once, before anything is sent.
    result<void, transport_error> start();

    /// Sends the queued frames, closes all outgoing links and then calls `done`. Later frames fail.
    /// Takes at most the connect timeout and one second; incoming messages are still
    /// delivered. Call `stop` afterwards.
    void close(std::function<void()> done);

    /// Closes all sockets at once and drops the queued frames, without callbacks.
    void stop();

    /// Address under which other nodes reach this one. Valid after `start`.
    endpoint advertised() const;

    /// Sends a datagram, or drops it when the kernel does not accept it at once.
    void send_datagram(const endpoint& to, const std::vector<std::uint8_t>& bytes);

    /// Delivers the datagrams in the receive buffer; `m_on_envelope` is called from within. A
    /// process that was paused calls this before it evaluates timeouts of messages it awaits.
    void receive_pending();

    /// Queues a frame on the link to `to` and opens the link when necessary. A tracked frame is
    /// reported by `m_on_frame_failed` until `frame_done` is called; an untracked one is dropped
    /// when its link fails. During the backoff after a loss, frames fail at once as not sent.
    frame_id send_frame(const endpoint& to, std::vector<std::uint8_t> bytes, bool track = true);

    /// Ends the tracking of a frame, because its reply arrived or is no longer awaited.
    void frame_done(frame_id id);

    const transport_counters& counters() const;

    /// Number of links that this node has opened or is opening.
    std::size_t link_count() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace azureladder::peer
