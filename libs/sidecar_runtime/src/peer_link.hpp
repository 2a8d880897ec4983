#pragma once

#include "asio_types.hpp"
#include "byte_reservation.hpp"
#include "frame_queue.hpp"
#include "piece_reader.hpp"

#include <azureladder/base/clock.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace azureladder::sidecar_runtime {

/// A TCP connection between two nodes that carries frames. Frames of one stream (`frame_stream`)
/// arrive in order.
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

        /// Frames were skipped because their content is malformed. May be null.
        std::function<void(std::uint64_t link, std::size_t count)> m_on_malformed;

        /// The system has taken the last byte of a frame.
        std::function<void(std::uint64_t link, const sent_frame& frame)> m_on_sent;

        /// The pacer holds back bulk data of the link, which resume() sends later.
        std::function<void(std::uint64_t link)> m_on_held_back;

        /// Memory of frames of all links that have arrived in part, and of frames to send. A link
        /// that gives way to others is closed. Null for no limit of all links together.
        byte_budget* m_input_budget = nullptr;
        byte_budget* m_output_budget = nullptr;
    };

    /// The clock, the pacer and the callbacks must outlive the link.
    peer_link(tcp::socket socket, std::uint64_t id, const clock& time, bulk_pacer& pacer,
              const callbacks& handlers);

    void start();

    /// Queues a frame. A cancel of a request that is still queued removes the request instead.
    void send(const sidecar::peer_frame& frame);

    /// Sends queued frames if no write is in progress.
    void resume();

    /// Whether frames are queued that the system has not taken.
    bool has_unsent_frames() const;

    /// Ends the sending direction behind the frames that were sent. They are delivered although the
    /// process ends, unlike after close().
    void finish();

    /// Closes the connection without calling m_on_closed.
    void close();

private:
    void read();

    /// Reads bytes that have already arrived, up to a limit, and handles their frames.
    error_code read_available();

    void write();
    void on_written(const frame_write& written, error_code error);
    void close_and_report();

    /// Reserves memory of a budget. Returns false when it exceeds the limit.
    bool reserve(std::optional<byte_reservation>& held, byte_budget* budget, std::size_t bytes);
    bool reserve_input();
    bool reserve_output();

    tcp::socket m_socket;
    std::uint64_t m_id;
    const clock& m_clock;
    bulk_pacer& m_pacer;
    const callbacks& m_handlers;
    piece_reader m_reader;
    frame_queue m_queue;
    frame_write m_write;
    std::optional<byte_reservation> m_input_memory;
    std::optional<byte_reservation> m_output_memory;
    bool m_is_closed = false;
};

} // namespace azureladder::sidecar_runtime
