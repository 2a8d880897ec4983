#pragma once

#include <azureladder/base/time.hpp>

#include <boost/container/static_vector.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace azureladder::routing {

/// Identifier of a route in load reports: the CRC-32 of its name.
std::uint32_t route_hash(std::string_view route);

/// Mean execution time of one route's requests at one backend server.
struct route_service_time
{
    std::uint32_t m_route = 0;
    duration m_mean{};
};

/// Largest number of routes with execution times in a load report. A few routes of a service cause
/// nearly all of its load. The times are stored in place, because reports are copied for each
/// selection of a server.
inline constexpr std::size_t max_reported_routes = 4;

using route_service_times =
    boost::container::static_vector<route_service_time, max_reported_routes>;

/// Load of one backend server, as its node reports it to other nodes.
struct load_report
{
    /// Whether the node accepts new requests for the backend server.
    bool m_open = false;

    /// Numbers of running and of waiting requests.
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;

    /// Maximum number of concurrent requests.
    std::uint32_t m_limit = 0;

    /// Mean execution time over all routes.
    duration m_service_time{};

    /// Mean execution times of the routes with the longest executions. The mean over all routes is
    /// a poor estimate for a single route: a server that runs many short calls would appear fast.
    route_service_times m_route_times;

    /// Predicted time until a request starts that can meet its target and is less urgent than all
    /// waiting ones that can.
    duration m_predicted_wait{};

    /// Predicted time until a call starts that is less urgent than all waiting calls.
    duration m_call_wait{};

    /// Share of recent executions that failed, 0 to 1.
    double m_failure_share = 0.0;

    /// Request rate in 1/s that the backend server supports while cold; 0 if it is not cold.
    double m_cold_rate_per_s = 0.0;
};

} // namespace azureladder::routing
