#pragma once

#include <azureladder/sidecar/peer_frame.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azureladder::sidecar {

/// Serializes a frame: length of the remaining bytes (4 bytes, big endian), length of the head (4
/// bytes, big endian), head (CBOR), body.
std::string encode_frame(const peer_frame& frame);

/// Size of the two length fields before the head.
inline constexpr std::size_t frame_prefix_bytes = 8;

/// Maximum frame size: a body of the largest configurable size and its head.
inline constexpr std::size_t max_frame_bytes = 80U * 1024 * 1024;

enum class frame_state
{
    incomplete,
    complete,
    invalid
};

/// Parses the frame at the front of `buffer` and stores its size in `used`.
frame_state decode_frame(std::string_view buffer, peer_frame& frame, std::size_t& used);

} // namespace azureladder::sidecar
