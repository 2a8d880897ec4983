#pragma once

#include <azureladder/base/enum_names.hpp>

namespace azureladder {

/// Severity of a log line, in ascending order.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

inline constexpr enum_name<log_level> log_level_names[] = {
    {log_level::debug, "debug"},
    {log_level::info, "info"},
    {log_level::warning, "warning"},
    {log_level::error, "error"},
};

constexpr std::string_view to_string(log_level level)
{
    return find_enum_name(log_level_names, level);
}

} // namespace azureladder
