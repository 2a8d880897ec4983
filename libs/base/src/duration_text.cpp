#include <azureladder/base/duration_text.hpp>

#include <charconv>
#include <cmath>
#include <system_error>

namespace azureladder {

namespace {

/// Longest accepted duration in seconds: one leap year.
constexpr double max_seconds = 366.0 * 24 * 3600;

} // namespace

std::optional<duration> parse_duration_text(std::string_view text)
{
    double number = 0.0;
    const char* end = text.data() + text.size();
    const auto [unit, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || !std::isfinite(number) || number < 0.0)
        return std::nullopt;
    const std::string_view name(unit, static_cast<std::size_t>(end - unit));
    double in_seconds = 0.0;
    if (name == "ms")
        in_seconds = number / 1000.0;
    else if (name == "s")
        in_seconds = number;
    else
        return std::nullopt;
    if (in_seconds > max_seconds)
        return std::nullopt;
    return duration(static_cast<duration::rep>(std::llround(in_seconds * 1e6)));
}

} // namespace azureladder
