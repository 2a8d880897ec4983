#include "arguments.hpp"

#include <charconv>

namespace azureladder::cli {

std::uint64_t parse_number(const std::string& name, const std::string& text, std::uint64_t min,
                           std::uint64_t max)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool complete = parsed.ec == std::errc() && parsed.ptr == end;
    if (!complete || value < min || value > max)
        throw usage_error(name + ": expected an integer from " + std::to_string(min) + " to " +
                          std::to_string(max) + ", found '" + text + "'");
    return value;
}

std::uint64_t number_option(const invocation& call, const std::string& name, std::uint64_t min,
                            std::uint64_t max, std::uint64_t fallback)
{
    const auto found = call.m_options.find(name);
    if (found == call.m_options.end())
        return fallback;
    return parse_number("--" + name, found->second, min, max);
}

} // namespace azureladder::cli
