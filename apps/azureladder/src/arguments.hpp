#pragma once

#include "command.hpp"

#include <cstdint>
#include <stdexcept>
#include <string>

namespace azureladder::cli {

/// Wrong arguments. Thrown while the command line is parsed and caught in `run`.
class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Integer from `min` to `max`; `name` is the argument in the error message.
std::uint64_t parse_number(const std::string& name, const std::string& text, std::uint64_t min,
                           std::uint64_t max);

/// Numeric value of an option of the command, or `fallback` when it is not given.
std::uint64_t number_option(const invocation& call, const std::string& name, std::uint64_t min,
                            std::uint64_t max, std::uint64_t fallback);

} // namespace azureladder::cli
