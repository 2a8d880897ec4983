#pragma once

#include <azureladder/key_ranges/range_table.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace azureladder::key_ranges {

/// JSON text of a table: `next_fence` and `ranges`, one array of
/// [from, to, owner, life, fence, state, former owner, handover] for each range.
std::string to_json_text(const range_table& table);

/// Empty when the text is no consistent table.
std::optional<range_table> parse_table(std::string_view text);

} // namespace azureladder::key_ranges
