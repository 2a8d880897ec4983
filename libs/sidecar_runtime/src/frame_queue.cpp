#include "frame_queue.hpp"

#include <azureladder/sidecar/peer_frame_codec.hpp>

#include <algorithm>

namespace azureladder::sidecar_runtime {

namespace {

/// Size of requests and responses above which they are sent as bulk data.
constexpr std::size_t max_request_stream_bytes = 16U * 1024;

/// Bytes above which no further piece is added to a write. Frames in a write can be neither
/// removed nor overtaken.
constexpr std::size_t write_bytes = 2 * max_piece_bytes;

/// Bytes of more urgent streams after which the bulk stream sends one piece, so that permanent load
/// does not stop documents.
constexpr std::size_t bulk_turn_bytes = 64U * 1024;

constexpr auto bulk_stream = static_cast<std::size_t>(frame_stream::bulk);

/// Stream of the next piece; empty when there is none to send now.
std::optional<std::size_t> next_stream(const frame_queue& queue, bulk_pacer& pacer, time_point now)
{
    const bool has_bulk =
        !queue.m_streams[bulk_stream].m_frames.empty() && may_send_bulk(pacer, now);
    if (has_bulk && queue.m_bytes_since_bulk >= bulk_turn_bytes)
        return bulk_stream;
    for (std::size_t i = 0; i < bulk_stream; ++i) {
        if (!queue.m_streams[i].m_frames.empty())
            return i;
    }
    return has_bulk ? std::optional(bulk_stream) : std::nullopt;
}

void append_piece_head(std::string& bytes, std::size_t stream, std::size_t length)
{
    bytes.push_back(static_cast<char>(stream));
    for (const int shift : {16, 8, 0})
        bytes.push_back(static_cast<char>((length >> shift) & 0xFF));
}

void take_piece(frame_queue& queue, std::size_t index, frame_write& write)
{
    frame_queue::stream& stream = queue.m_streams[index];
    std::string piece;
    while (!stream.m_frames.empty() && piece.size() < max_piece_bytes) {
        queued_frame& frame = stream.m_frames.front();
        const std::size_t size =
            std::min(max_piece_bytes - piece.size(), frame.m_bytes.size() - stream.m_taken_bytes);
        piece.append(frame.m_bytes, stream.m_taken_bytes, size);
        stream.m_taken_bytes += size;
        if (stream.m_taken_bytes < frame.m_bytes.size())
            break;
        write.m_completed_bytes.push_back(frame.m_bytes.size());
        frame.m_bytes = {};
        write.m_completed.push_back(std::move(frame));
        stream.m_frames.pop_front();
        stream.m_taken_bytes = 0;
    }
    queue.m_bytes -= piece.size();
    queue.m_bytes_since_bulk = index == bulk_stream ? 0 : queue.m_bytes_since_bulk + piece.size();
    append_piece_head(write.m_bytes, index, piece.size());
    write.m_bytes += piece;
}

/// Replaces a queued document of the same name that `document` covers and of which nothing has been
/// taken. Changes since a later revision do not cover a queued frame.
bool replace_document(frame_queue& queue, frame_queue::stream& stream, queued_frame& document)
{
    for (auto& queued : stream.m_frames) {
        const bool is_taken = &queued == &stream.m_frames.front() && stream.m_taken_bytes > 0;
        if (is_taken || queued.m_document != document.m_document ||
            queued.m_base_revision < document.m_base_revision)
            continue;
        queue.m_bytes -= queued.m_bytes.size();
        document.m_queued_at = queued.m_queued_at;
        queued = std::move(document);
        return true;
    }
    return false;
}

} // namespace

frame_stream stream_of(const sidecar::peer_frame& frame, std::size_t bytes)
{
    if (std::holds_alternative<sidecar::document_frame>(frame))
        return frame_stream::bulk;
    if (std::holds_alternative<sidecar::request_frame>(frame) ||
        std::holds_alternative<sidecar::response_frame>(frame) ||
        std::holds_alternative<sidecar::body_frame>(frame))
        return bytes > max_request_stream_bytes ? frame_stream::bulk : frame_stream::requests;
    return frame_stream::control;
}

void push_frame(frame_queue& queue, const sidecar::peer_frame& frame, time_point now)
{
    queued_frame queued;
    if (const auto* request = std::get_if<sidecar::request_frame>(&frame))
        queued.m_request = request->m_id;
    if (const auto* body = std::get_if<sidecar::body_frame>(&frame))
        queued.m_body_of = body->m_id;
    queued.m_kind = frame.index();
    queued.m_queued_at = now;
    queued.m_bytes = sidecar::encode_frame(frame);
    queue.m_bytes += queued.m_bytes.size();
    const auto index = static_cast<std::size_t>(stream_of(frame, queued.m_bytes.size()));
    frame_queue::stream& stream = queue.m_streams[index];
    if (const auto* document = std::get_if<sidecar::document_frame>(&frame)) {
        queued.m_document = document->m_name;
        queued.m_base_revision = document->m_base_revision;
        if (replace_document(queue, stream, queued))
            return;
    }
    stream.m_frames.push_back(std::move(queued));
}

namespace {

/// Removes the first queued frame for which `is_wanted` returns true. Returns false when there is
/// none or it is partly taken.
template <class Predicate>
bool remove_frame(frame_queue& queue, Predicate is_wanted)
{
    for (auto& stream : queue.m_streams) {
        const auto found = std::find_if(stream.m_frames.begin(), stream.m_frames.end(), is_wanted);
        if (found == stream.m_frames.end())
            continue;
        if (found == stream.m_frames.begin() && stream.m_taken_bytes > 0)
            return false;
        queue.m_bytes -= found->m_bytes.size();
        stream.m_frames.erase(found);
        return true;
    }
    return false;
}

} // namespace

bool remove_queued_request(frame_queue& queue, std::uint64_t request)
{
    return remove_frame(queue,
                        [&](const queued_frame& queued) { return queued.m_request == request; });
}

bool remove_queued_body(frame_queue& queue, std::uint64_t request)
{
    return remove_frame(queue,
                        [&](const queued_frame& queued) { return queued.m_body_of == request; });
}

frame_write take_write(frame_queue& queue, bulk_pacer& pacer, time_point now)
{
    frame_write write;
    while (write.m_bytes.size() < write_bytes) {
        const auto stream = next_stream(queue, pacer, now);
        if (!stream)
            break;
        const std::size_t former_size = write.m_bytes.size();
        take_piece(queue, *stream, write);
        if (*stream == bulk_stream)
            record_bulk(pacer, write.m_bytes.size() - former_size);
    }
    return write;
}

} // namespace azureladder::sidecar_runtime
