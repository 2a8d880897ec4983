#pragma once

#include <azureladder/key_ranges/range_table.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azureladder::key_ranges {

/// Serializes a table as a JSON object with `next_fence`, `owners` and `ranges`. Each owner is an
/// array of [node, incarnation], and each range one of [from, to, index of the owner, fencing
/// token], followed by [state, previous owner, handover token] unless all have their defaults.
std::string to_json_text(const range_table& table);

/// Parses a serialized table. Returns no value if the text is malformed or the table inconsistent.
std::optional<range_table> parse_range_table(std::string_view text);

} // namespace azureladder::key_ranges
