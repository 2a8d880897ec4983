#pragma once

#include "bulk_pacer.hpp"
#include "frame_stream.hpp"

#include <azureladder/base/time.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace azureladder::sidecar_runtime {

/// Serialized frame that waits to be sent.
struct queued_frame
{
    /// Id of the request that the frame carries; empty for other frames.
    std::optional<std::uint64_t> m_request;

    /// Id of the request whose body the frame carries; empty for other frames.
    std::optional<std::uint64_t> m_body_of;

    /// Name of the document that the frame carries, empty for other frames, and the revision since
    /// which it has the changes.
    std::string m_document;
    std::uint64_t m_base_revision = 0;

    /// Index of the frame's kind in `peer_frame`.
    std::size_t m_kind = 0;
    time_point m_queued_at;
    std::string m_bytes;
};

/// Frames to send over one peer connection. They are cut into pieces, so that a long frame delays
/// the frames of more urgent streams by one piece at most.
struct frame_queue
{
    struct stream
    {
        std::deque<queued_frame> m_frames;

        /// Bytes of the first frame that have been taken.
        std::size_t m_taken_bytes = 0;
    };

    std::array<stream, frame_stream_count> m_streams;

    /// Bytes that are queued over all streams.
    std::size_t m_bytes = 0;

    /// Bytes of other streams taken since the newest piece of the bulk stream.
    std::size_t m_bytes_since_bulk = 0;
};

/// Bytes for one write to the connection.
struct frame_write
{
    std::string m_bytes;

    /// Frames whose last byte is in this write. Their own bytes are empty.
    std::vector<queued_frame> m_completed;
    std::vector<std::size_t> m_completed_bytes;
};

/// Queues a frame. A document replaces a queued one of the same name that it covers, unless a part
/// of that has been taken: a peer requests a document again while an earlier response waits.
void push_frame(frame_queue& queue, const sidecar::peer_frame& frame, time_point now);

/// Removes a queued request. Returns false when it is not queued or partly taken.
bool remove_queued_request(frame_queue& queue, std::uint64_t request);

/// Removes the queued body of a request. Returns false when it is not queued or partly taken.
bool remove_queued_body(frame_queue& queue, std::uint64_t request);

/// Takes the bytes of the next write, about two pieces. Empty when nothing is queued, or only bulk
/// data that the pacer holds back.
frame_write take_write(frame_queue& queue, bulk_pacer& pacer, time_point now);

} // namespace azureladder::sidecar_runtime
