#pragma once

#include <azureladder/sidecar/peer_frame.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azureladder::sidecar {

/// Bytes of a frame: length of the rest (4 bytes, big endian), length of the head (4 bytes), head
/// (CBOR), body.
std::string encode_frame(const peer_frame& frame);

/// Bytes before the head.
inline constexpr std::size_t frame_prefix_bytes = 8;

/// Longest frame: a body of the largest configured size and its head.
inline constexpr std::size_t max_frame_bytes = 80U * 1024 * 1024;

enum class frame_state
{
    incomplete,
    complete,
    invalid
};

/// Takes one frame from the front of `buffer`. `used` is the number of its bytes.
frame_state decode_frame(std::string_view buffer, peer_frame& frame, std::size_t& used);

} // namespace azureladder::sidecar
