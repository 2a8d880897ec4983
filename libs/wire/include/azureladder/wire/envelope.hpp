#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/ids.hpp>
#include <azureladder/base/result.hpp>
#include <azureladder/core/messages.hpp>
#include <azureladder/wire/frames.hpp>
#include <azureladder/wire/wire_error.hpp>

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

/// CBOR encoding of the messages between nodes; docs/design.md, section 8.
namespace azureladder::wire {

/// Version of the protocol. A message of another version is rejected.
inline constexpr std::uint64_t protocol_version = 1;

/// Largest UDP payload. Fits the smallest MTU in use without fragmentation.
inline constexpr std::size_t max_datagram_bytes = 1'200;

/// Largest frame of a link. Bounds the memory that one frame can occupy at its receiver.
inline constexpr std::size_t max_frame_bytes = 2 * 1'024 * 1'024;

using payload = std::variant<core::message, request_frame, reply_frame, cancel_frame>;

/// A message with its sender.
struct envelope
{
    member_id m_from;

    /// Address of the sender's peer listener, to which replies are sent. Empty in lease messages
    /// whose receiver has the address from the sender's plan or an earlier message.
    endpoint m_reply_to;
    payload m_payload;
};

/// Encodes a message. `m_reply_to` must hold an IP address or be empty.
std::vector<std::uint8_t> encode(const envelope& value);

/// Decodes a message and checks the type and range of each field. Does not throw.
result<envelope, wire_error> decode(const std::uint8_t* data, std::size_t size);

enum class channel
{
    datagram,
    link
};

inline constexpr enum_name<channel> channel_names[] = {
    {channel::datagram, "datagram"},
    {channel::link, "link"},
};

/// Whether the encoded message fits into a datagram with any envelope that has a node name of at
/// most 64 bytes.
bool fits_datagram(const core::message& value);

/// Channel on which a message is sent: datagrams for messages that are resent until they are
/// answered, as long as they fit; the link for all others.
channel channel_for(const core::message& value);

} // namespace azureladder::wire
