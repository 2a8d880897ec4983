#pragma once

#include <azureladder/base/enum_names.hpp>

namespace azureladder::sidecar {

/// Whether an earlier process of the node may have acknowledged the departure of a backend server.
enum class backend_standing
{
    /// It may have. The announcements may be delayed ones of a server that has left.
    unconfirmed,

    /// It has not.
    confirmed,

    /// The server states that it is leaving or unhealthy.
    out_of_service
};

inline constexpr enum_name<backend_standing> backend_standing_names[] = {
    {backend_standing::unconfirmed, "unconfirmed"},
    {backend_standing::confirmed, "confirmed"},
    {backend_standing::out_of_service, "out_of_service"},
};

} // namespace azureladder::sidecar
