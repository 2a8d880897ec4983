#pragma once

#include <azureladder/wire/wire_error.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace azureladder::wire {

/// Maximum number of data items in one message: about three times a table_push of 16,384 slices.
inline constexpr std::size_t max_items = 600'000;

/// Maximum nesting of maps and arrays; the messages use six levels.
inline constexpr std::size_t max_depth = 8;

/// Checks that `data` is exactly one CBOR map of definite lengths within the limits, without tags.
/// The CBOR reader of nlohmann::json recurses for each level and for each nested chunk of an
/// indefinite string, so without this check a short datagram could exhaust the stack.
std::optional<wire_error_kind> scan_cbor(const std::uint8_t* data, std::size_t size);

bool is_valid_utf8(std::string_view text);

} // namespace azureladder::wire
