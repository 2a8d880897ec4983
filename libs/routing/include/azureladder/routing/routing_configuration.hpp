#pragma once

#include <azureladder/routing/client_limits.hpp>
#include <azureladder/routing/route.hpp>
#include <azureladder/routing/service_definition.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace azureladder::routing {

/// One version of the operator's configuration.
struct routing_configuration
{
    std::uint64_t m_version = 0;
    std::vector<route> m_routes;
    std::map<std::string, service_definition, std::less<>> m_services;
    client_limits m_limits;

    /// Indices into `m_routes` by host, longest prefix first. Filled by `index_routes`.
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_routes_by_host;
};

/// Builds the index of routes by host. Call it after each change of `m_routes`.
void index_routes(routing_configuration& configuration);

/// Returns the route with the longest prefix that matches `path`, or null. `path` may contain a
/// query or a fragment, which is ignored.
const route* find_route(const routing_configuration& configuration, std::string_view host,
                        std::string_view path);

} // namespace azureladder::routing
