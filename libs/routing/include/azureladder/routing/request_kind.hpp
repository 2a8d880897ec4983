#pragma once

#include <azureladder/base/enum_names.hpp>

namespace azureladder::routing {

/// Whether a request may be executed more than once, and whether its body is large.
enum class request_kind
{
    idempotent,
    non_idempotent,

    /// Non-idempotent, with a body that takes noticeable time on a slow link.
    upload
};

inline constexpr enum_name<request_kind> request_kind_names[] = {
    {request_kind::idempotent, "idempotent"},
    {request_kind::non_idempotent, "non_idempotent"},
    {request_kind::upload, "upload"},
};

constexpr std::string_view to_string(request_kind value)
{
    return find_enum_name(request_kind_names, value);
}

} // namespace azureladder::routing
