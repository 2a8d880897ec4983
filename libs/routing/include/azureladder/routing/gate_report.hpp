#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace azureladder::routing {

/// Short name of a route in reports: the CRC-32 of its name.
std::uint32_t route_code(std::string_view route);

/// Mean execution time of the requests of one route at one backend server.
struct route_time
{
    std::uint32_t m_route = 0;
    duration m_mean{};
};

/// Load of one gate, as its node states it to the others.
struct gate_report
{
    /// Whether the gate takes new requests at all.
    bool m_open = false;

    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;

    /// Requests that may run at the same time.
    std::uint32_t m_limit = 0;

    /// Mean time of one execution, over all routes.
    duration m_service_time{};

    /// The routes with the longest executions. The mean over all routes says little about one of
    /// them: servers that get many short calls would look fast.
    std::vector<route_time> m_route_times;

    /// Predicted time until a request that is less urgent than all others starts.
    duration m_wait{};

    /// Share of recent executions that failed, 0 to 1.
    double m_failure_share = 0.0;

    /// Requests a second that the backend server still bears while cold; 0 when it is not cold.
    double m_cold_rate_per_s = 0.0;
};

} // namespace azureladder::routing
