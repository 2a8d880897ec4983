#pragma once

#include <azureladder/sidecar/peer_frame.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azureladder::sidecar {

/// Serializes a frame: length of the remaining bytes (4 bytes, big endian), then a MessagePack
/// array of the frame's kind (index in `peer_frame`) and its fields.
std::string encode_frame(const peer_frame& frame);

/// Size of the length field.
inline constexpr std::size_t frame_prefix_bytes = 4;

/// Maximum frame size: a body of the largest configurable size and the other fields.
inline constexpr std::size_t max_frame_bytes = 80U * 1024 * 1024;

enum class frame_state
{
    incomplete,
    complete,

    /// The frame is complete, but its content can't be used. The next one begins behind it.
    malformed,

    /// The bytes are no frames.
    invalid
};

/// Parses the frame at the front of `buffer` and stores its size in `used`, also if it is
/// malformed. A frame counts as malformed too if a field has a value that could not be written on:
/// names, ids and handovers that are not UTF-8, and numbers that are not finite.
frame_state decode_frame(std::string_view buffer, peer_frame& frame, std::size_t& used);

} // namespace azureladder::sidecar
