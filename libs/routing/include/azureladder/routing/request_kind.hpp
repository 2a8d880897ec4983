#pragma once

#include <azureladder/base/enum_names.hpp>

namespace azureladder::routing {

/// Whether a request may be executed more than once.
enum class request_kind
{
    idempotent,
    non_idempotent
};

inline constexpr enum_name<request_kind> request_kind_names[] = {
    {request_kind::idempotent, "idempotent"},
    {request_kind::non_idempotent, "non_idempotent"},
};

constexpr std::string_view to_string(request_kind value)
{
    return find_enum_name(request_kind_names, value);
}

} // namespace azureladder::routing
