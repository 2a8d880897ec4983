#pragma once

#include "command.hpp"

#include <cstdint>
#include <stdexcept>
#include <string>

namespace azureladder::cli {

/// Invalid arguments. Thrown by the parser and the commands, and caught in `run`.
class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Parses an integer from `min` to `max`. `name` identifies the argument in the error message.
std::uint64_t parse_number(const std::string& name, const std::string& text, std::uint64_t min,
                           std::uint64_t max);

/// Numeric value of an option of the command, or `fallback` when the option is absent.
std::uint64_t number_option(const invocation& call, const std::string& name, std::uint64_t min,
                            std::uint64_t max, std::uint64_t fallback);

} // namespace azureladder::cli
