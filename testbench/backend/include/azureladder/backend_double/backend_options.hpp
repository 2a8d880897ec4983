#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/time.hpp>

#include <optional>
#include <string>

/// Test double of a backend server.
namespace azureladder::backend_double {

/// Options of the double. `app/main.cpp` reads them from the command line.
struct backend_options
{
    std::string m_server = "backend-1";
    std::string m_service = "catalogue";
    std::string m_zone = "zone-1";

    /// Maximum number of concurrent executions; further requests are shed.
    unsigned m_slots = 9;

    /// Announced number of connections. Not enforced.
    unsigned m_connections = 120;

    /// Whether leases and grants are checked.
    bool m_checks_fencing = false;

    milliseconds m_service_time{5};

    /// Service times vary by up to this fraction in both directions.
    double m_service_jitter = 0.0;

    /// Duration of the cold start.
    milliseconds m_cold{0};

    /// Concurrent requests that the double handles at normal speed while cold.
    unsigned m_cold_slots = 1;

    /// Age of the load and cold start state in announcements.
    milliseconds m_report_lag{0};

    /// Load that is announced instead of the measured one.
    std::optional<double> m_report_load;

    std::uint64_t m_seed = 1;
};

} // namespace azureladder::backend_double
