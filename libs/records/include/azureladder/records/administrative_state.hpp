#pragma once

#include <azureladder/base/enum_names.hpp>

namespace azureladder::records {

/// State that operators set for an availability zone or a backend server: in or out of service.
enum class administrative_state
{
    in,
    out
};

inline constexpr enum_name<administrative_state> administrative_state_names[] = {
    {administrative_state::in, "in"},
    {administrative_state::out, "out"},
};

} // namespace azureladder::records
