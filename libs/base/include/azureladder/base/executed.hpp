#pragma once

#include <azureladder/base/enum_names.hpp>

namespace azureladder {

/// Whether a backend server executed a request.
enum class executed
{
    no,
    yes,
    unknown
};

inline constexpr enum_name<executed> executed_names[] = {
    {executed::no, "no"},
    {executed::yes, "yes"},
    {executed::unknown, "unknown"},
};

constexpr std::string_view to_string(executed value)
{
    return find_enum_name(executed_names, value);
}

} // namespace azureladder
