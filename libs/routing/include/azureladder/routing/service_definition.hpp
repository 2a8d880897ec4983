#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::routing {

/// Configuration of one service and its backend servers.
struct service_definition
{
    std::string m_name;

    /// Request rate in 1/s that a backend server supports while cold; 0 for no limit.
    double m_cold_rate_per_s = 0.0;

    /// Path at which a backend server states whether it is healthy and stays; empty if unknown.
    std::string m_health_check_path;

    /// Whether the service is sharded, so that a backend server serves only the keys it owns.
    bool m_is_sharded = false;
};

} // namespace azureladder::routing
