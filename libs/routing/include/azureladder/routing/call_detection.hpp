#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azureladder::routing {

/// Load pattern: backend servers call other services while they execute requests. A call that waits
/// behind new requests holds a slot at its caller, so calls go first, and the operator's limit of
/// repeats does not count them as requests of clients. Neither the configuration nor the request
/// tells a call from a request of a client. Clients use the nodes of all services, while the calls
/// of a route originate from the VMs of the calling service alone.
struct call_detection_options
{
    /// Requests of a route below which nothing is concluded.
    double m_min_requests = 30.0;

    /// Smallest share of a route's requests that originate from VMs of one service. Operators send
    /// a few test requests to any node.
    double m_min_share = 0.95;

    /// Number of requests of a route at which its counts are halved.
    double m_max_requests = 400.0;

    /// Limit of the routes that are counted and of the origins counted for each. Further ones count
    /// as routes of clients.
    std::size_t m_max_routes = 256;
    std::size_t m_max_origins = 8;
};

/// Requests of one route by the service on the VMs that they originate from.
struct route_origins
{
    double m_requests = 0.0;
    std::map<std::string, double> m_by_service;
};

/// Origins by route (`route_hash`).
using origins_by_route = std::map<std::uint32_t, route_origins>;

/// Counts a request of `route` that originates from a VM of `service`.
void record_origin(origins_by_route& origins, std::uint32_t route, const std::string& service,
                   const call_detection_options& options);

/// Routes that only calls use. To be used only if the system has several services: the requests of
/// clients originate from VMs of the same service otherwise.
std::vector<std::uint32_t> called_routes(const origins_by_route& origins,
                                         const call_detection_options& options);

} // namespace azureladder::routing
