#pragma once

#include <azureladder/base/enum_names.hpp>

namespace azureladder {

/// Priority class of a request. Lower values are served first.
enum class request_class
{
    interactive,
    standard,
    batch
};

inline constexpr enum_name<request_class> request_class_names[] = {
    {request_class::interactive, "interactive"},
    {request_class::standard, "standard"},
    {request_class::batch, "batch"},
};

constexpr std::string_view to_string(request_class value)
{
    return find_enum_name(request_class_names, value);
}

} // namespace azureladder
