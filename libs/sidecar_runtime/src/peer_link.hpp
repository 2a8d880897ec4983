#pragma once

#include "asio_types.hpp"

#include <azureladder/sidecar/peer_frame.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace azureladder::sidecar_runtime {

/// A TCP connection between two nodes that carries frames.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    struct callbacks
    {
        std::function<void(std::uint64_t link, sidecar::peer_frame)> m_on_frame;
        std::function<void(std::uint64_t link)> m_on_closed;
    };

    peer_link(tcp::socket socket, std::uint64_t id, const callbacks& handlers);

    void start();

    /// Queues a frame. A cancel of a request that is still queued removes the request instead.
    void send(const sidecar::peer_frame& frame);

    /// Closes the connection without calling m_on_closed.
    void close();

private:
    struct queued_frame
    {
        /// Id of the request that the frame carries; empty for other frames.
        std::optional<std::uint64_t> m_request;
        std::string m_bytes;
    };

    bool remove_queued_request(std::uint64_t request);
    void read();

    /// Reads bytes that have already arrived, up to a limit.
    error_code read_available();

    void decode_frames();
    void write();
    void close_and_report();

    tcp::socket m_socket;
    std::uint64_t m_id;
    const callbacks& m_handlers;
    std::string m_read_buffer;
    std::array<char, 16 * 1024> m_read_chunk{};
    std::deque<queued_frame> m_send_queue;
    std::size_t m_send_queue_bytes = 0;
    std::string m_write_buffer;
    bool m_is_closed = false;
};

} // namespace azureladder::sidecar_runtime
