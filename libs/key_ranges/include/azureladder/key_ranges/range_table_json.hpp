#pragma once

#include <azureladder/key_ranges/range_table.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azureladder::key_ranges {

/// Serializes a table as a JSON object with `next_fence` and `ranges`; each range is an array of
/// [from, to, owner, incarnation, fencing token, state, previous owner, handover token].
std::string to_json_text(const range_table& table);

/// Parses a serialized table. Returns no value if the text is malformed or the table inconsistent.
std::optional<range_table> parse_range_table(std::string_view text);

} // namespace azureladder::key_ranges
