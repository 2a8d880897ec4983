#include "piece_reader.hpp"

#include <azureladder/sidecar/peer_frame_codec.hpp>

#include <algorithm>

namespace azureladder::sidecar_runtime {

namespace {

/// Reads the head of a piece. Returns false when it is invalid.
bool begin_piece(piece_reader& reader)
{
    std::size_t length = 0;
    for (std::size_t i = 1; i < piece_head_bytes; ++i)
        length = length << 8 | static_cast<unsigned char>(reader.m_head[i]);
    reader.m_stream = static_cast<unsigned char>(reader.m_head[0]);
    reader.m_missing_bytes = length;
    reader.m_head.clear();
    return reader.m_stream < frame_stream_count && length > 0 && length <= max_piece_bytes;
}

enum class decode_result
{
    done,
    stopped,
    invalid
};

decode_result decode_frames(std::string& bytes, std::size_t& malformed_frames,
                            const std::function<bool(sidecar::peer_frame)>& on_frame)
{
    std::size_t offset = 0;
    while (true) {
        sidecar::peer_frame frame;
        std::size_t frame_bytes = 0;
        const auto state =
            sidecar::decode_frame(std::string_view(bytes).substr(offset), frame, frame_bytes);
        if (state == sidecar::frame_state::invalid)
            return decode_result::invalid;
        if (state == sidecar::frame_state::incomplete)
            break;
        offset += frame_bytes;
        if (state == sidecar::frame_state::malformed) {
            ++malformed_frames;
            continue;
        }
        if (!on_frame(std::move(frame)))
            return decode_result::stopped;
    }
    bytes.erase(0, offset);
    // Releases the memory of a long frame.
    if (bytes.empty() && bytes.capacity() > 2 * max_piece_bytes)
        std::string().swap(bytes);
    return decode_result::done;
}

} // namespace

std::size_t buffered_bytes(const piece_reader& reader)
{
    std::size_t bytes = 0;
    for (const auto& frame : reader.m_frames)
        bytes += frame.empty() ? 0 : frame.capacity();
    return bytes;
}

bool read_pieces(piece_reader& reader, std::string_view bytes,
                 const std::function<bool(sidecar::peer_frame)>& on_frame)
{
    while (!bytes.empty()) {
        if (reader.m_missing_bytes == 0) {
            const std::size_t size =
                std::min(bytes.size(), piece_head_bytes - reader.m_head.size());
            reader.m_head.append(bytes.substr(0, size));
            bytes.remove_prefix(size);
            if (reader.m_head.size() == piece_head_bytes && !begin_piece(reader))
                return false;
            continue;
        }
        const std::size_t size = std::min(bytes.size(), reader.m_missing_bytes);
        reader.m_frames[reader.m_stream].append(bytes.substr(0, size));
        reader.m_missing_bytes -= size;
        bytes.remove_prefix(size);
        if (reader.m_missing_bytes > 0)
            break;
        const auto result =
            decode_frames(reader.m_frames[reader.m_stream], reader.m_malformed_frames, on_frame);
        if (result != decode_result::done)
            return result == decode_result::stopped;
    }
    return true;
}

} // namespace azureladder::sidecar_runtime
