#pragma once

#include <azureladder/base/enum_names.hpp>

namespace azureladder::records {

/// State that operators set for an availability zone or a backend server: in or out of service.
enum class service_state
{
    in,
    out
};

inline constexpr enum_name<service_state> service_state_names[] = {
    {service_state::in, "in"},
    {service_state::out, "out"},
};

} // namespace azureladder::records
