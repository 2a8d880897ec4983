#pragma once

#include <azureladder/base/time.hpp>

#include <optional>
#include <string_view>

namespace azureladder {

/// Parses a number with the unit "ms" or "s", for example "1500ms" or "2.5s". Negative, missing
/// and unreadable numbers give nothing.
std::optional<duration> parse_duration_text(std::string_view text);

} // namespace azureladder
