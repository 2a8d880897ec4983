#pragma once

#include "frame_stream.hpp"

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace azureladder::sidecar_runtime {

/// Received bytes of one peer connection that are not decoded yet.
struct piece_reader
{
    /// Bytes of an incomplete head of a piece.
    std::string m_head;

    /// Stream of the current piece, and its bytes that have not arrived.
    std::size_t m_stream = 0;
    std::size_t m_missing_bytes = 0;

    /// Incomplete frames by stream.
    std::array<std::string, frame_stream_count> m_frames;

    /// Number of frames that were skipped because their content is malformed.
    std::size_t m_malformed_frames = 0;
};

/// Memory of the frames that have arrived in part.
std::size_t buffered_bytes(const piece_reader& reader);

/// Calls `on_frame` for each frame that `bytes` complete, until it returns false. Returns false
/// when the bytes are invalid.
bool read_pieces(piece_reader& reader, std::string_view bytes,
                 const std::function<bool(sidecar::peer_frame)>& on_frame);

} // namespace azureladder::sidecar_runtime
