#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::routing {

/// What the operator states about the backend servers of one service.
struct service_definition
{
    std::string m_name;

    /// Requests a second that a backend server bears while it is cold; 0 when it has no such limit.
    double m_cold_rate_per_s = 0.0;

    /// Whether a backend server serves only the keys that it holds.
    bool m_keyed = false;
};

} // namespace azureladder::routing
