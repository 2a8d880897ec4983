#pragma once

#include <azureladder/base/enum_names.hpp>
#include <azureladder/sidecar/peer_frame.hpp>

#include <cstddef>
#include <cstdint>

namespace azureladder::sidecar_runtime {

/// Streams of one peer connection, most urgent first. Frames of one stream arrive in order; frames
/// of a more urgent stream may overtake others.
enum class frame_stream
{
    /// Short frames on which the start or the end of requests depends.
    control,

    /// Requests and responses.
    requests,

    /// Documents, bodies, and requests and responses with long bodies.
    bulk
};

inline constexpr std::size_t frame_stream_count = 3;

/// Stream that carries a frame of `bytes` serialized bytes.
frame_stream stream_of(const sidecar::peer_frame& frame, std::size_t bytes);

/// Size of the head of a piece: the stream (1 byte), then the length of the rest (3 bytes, big
/// endian).
inline constexpr std::size_t piece_head_bytes = 4;

/// Longest piece without its head. A more urgent frame waits for one piece at most, apart from the
/// bytes that the system has already taken.
inline constexpr std::size_t max_piece_bytes = 8U * 1024;

} // namespace azureladder::sidecar_runtime
