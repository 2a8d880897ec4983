#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::routing {

/// What the operator states about the backend servers of one service.
struct service_definition
{
    std::string m_name;

    /// Connections that one backend server accepts from all callers together.
    std::uint32_t m_max_connections = 1;

    /// Requests a second that a backend server bears while it is cold; 0 when it has no such limit.
    double m_cold_rate_per_s = 0.0;

    /// Time for which a backend server stays cold after its start.
    duration m_cold_start{};

    /// Whether a backend server serves only the keys that it holds.
    bool m_keyed = false;
};

} // namespace azureladder::routing
