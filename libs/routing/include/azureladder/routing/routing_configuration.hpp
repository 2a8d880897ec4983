#pragma once

#include <azureladder/routing/client_limits.hpp>
#include <azureladder/routing/organisation.hpp>
#include <azureladder/routing/route.hpp>
#include <azureladder/routing/service_definition.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace azureladder::routing {

/// Entry of a configuration that can't be used as it is written.
struct configuration_defect
{
    /// Name of the route, service or organisation; empty if the entry has none.
    std::string m_entry;
    std::string m_cause;
};

/// One version of the operator's configuration.
struct routing_configuration
{
    std::uint64_t m_version = 0;
    std::vector<route> m_routes;
    std::map<std::string, service_definition, std::less<>> m_services;
    client_limits m_limits;

    /// Defects cost the requests of their own entry only.
    std::vector<configuration_defect> m_defects;

    /// Some routes have no usable host or prefix. A request that matches no route may belong to one
    /// of them.
    bool m_has_unmatchable_routes = false;

    /// Requests need the key of an organisation, unless their route allows anonymous requests.
    bool m_has_organisations = false;

    /// Organisations by name, and names of organisations by key.
    std::map<std::string, organisation, std::less<>> m_organisations;
    std::map<std::string, std::string, std::less<>> m_organisation_of_key;

    /// The keys of some organisations can't be read. An unknown key may belong to one of them.
    bool m_has_unreadable_keys = false;

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
