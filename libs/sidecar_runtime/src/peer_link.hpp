#pragma once

#include "asio_types.hpp"

#include <azureladder/base/clock.hpp>
#include <azureladder/sidecar/peer_frame.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azureladder::sidecar_runtime {

/// A TCP connection between two nodes that carries frames.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    struct sent_frame
    {
        /// Index of the frame's kind in `peer_frame`.
        std::size_t m_kind = 0;
        std::size_t m_bytes = 0;

        /// Time from the queueing of the frame until the system has taken its last byte.
        duration m_waited{};

        /// Bytes that are still queued behind the frame.
        std::size_t m_queued_bytes = 0;
    };

    struct callbacks
    {
        std::function<void(std::uint64_t link, sidecar::peer_frame)> m_on_frame;
        std::function<void(std::uint64_t link)> m_on_closed;

        /// The system has taken the last byte of a frame.
        std::function<void(std::uint64_t link, const sent_frame& frame)> m_on_sent;
    };

    /// The clock and the callbacks must outlive the link.
    peer_link(tcp::socket socket, std::uint64_t id, const clock& time, const callbacks& handlers);

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
        std::size_t m_kind = 0;
        time_point m_queued_at;
        std::string m_bytes;
    };

    bool remove_queued_request(std::uint64_t request);
    void read();

    /// Reads bytes that have already arrived, up to a limit.
    error_code read_available();

    void decode_frames();
    void write();
    void report_sent(const std::vector<queued_frame>& frames);
    void close_and_report();

    tcp::socket m_socket;
    std::uint64_t m_id;
    const clock& m_clock;
    const callbacks& m_handlers;
    std::string m_read_buffer;
    std::array<char, 16 * 1024> m_read_chunk{};
    std::deque<queued_frame> m_send_queue;
    std::size_t m_send_queue_bytes = 0;
    std::string m_write_buffer;

    /// Frames in the write buffer, without their bytes.
    std::vector<queued_frame> m_frames_in_write;
    bool m_is_closed = false;
};

} // namespace azureladder::sidecar_runtime
