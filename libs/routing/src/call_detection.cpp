#include <azureladder/routing/call_detection.hpp>

#include <algorithm>

namespace azureladder::routing {

void record_origin(origins_by_route& origins, std::uint32_t route, const std::string& service,
                   const call_detection_options& options)
{
    if (origins.size() >= options.m_max_routes && origins.count(route) == 0)
        return;
    route_origins& counts = origins[route];
    counts.m_requests += 1.0;
    if (counts.m_by_service.size() < options.m_max_origins ||
        counts.m_by_service.count(service) != 0)
        counts.m_by_service[service] += 1.0;
    if (counts.m_requests < options.m_max_requests)
        return;
    counts.m_requests /= 2.0;
    for (auto& [name, requests] : counts.m_by_service)
        requests /= 2.0;
}

std::vector<std::uint32_t> called_routes(const origins_by_route& origins,
                                         const call_detection_options& options)
{
    std::vector<std::uint32_t> result;
    for (const auto& entry : origins) {
        const route_origins& counts = entry.second;
        if (counts.m_requests < options.m_min_requests)
            continue;
        const bool has_one_origin = std::any_of(
            counts.m_by_service.begin(), counts.m_by_service.end(), [&](const auto& origin) {
                return origin.second >= options.m_min_share * counts.m_requests;
            });
        if (has_one_origin)
            result.push_back(entry.first);
    }
    return result;
}

} // namespace azureladder::routing
