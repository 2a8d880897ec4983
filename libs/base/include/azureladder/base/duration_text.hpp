#pragma once

#include <azureladder/base/time.hpp>

#include <optional>
#include <string_view>

namespace azureladder {

/// Parses a number with the unit "ms" or "s", for example "1500ms" or "2.5s". Returns nothing for
/// other text, negative numbers and durations of more than 366 days.
std::optional<duration> parse_duration_text(std::string_view text);

} // namespace azureladder
