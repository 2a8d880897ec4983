#include <azureladder/routing/routing_configuration.hpp>

#include <algorithm>

namespace azureladder::routing {

void index_routes(routing_configuration& configuration)
{
    configuration.m_routes_by_host.clear();
    for (std::size_t i = 0; i < configuration.m_routes.size(); ++i)
        configuration.m_routes_by_host[configuration.m_routes[i].m_host].push_back(i);
    const auto& routes = configuration.m_routes;
    for (auto& [host, positions] : configuration.m_routes_by_host) {
        std::stable_sort(positions.begin(), positions.end(), [&](std::size_t a, std::size_t b) {
            return routes[a].m_prefix.size() > routes[b].m_prefix.size();
        });
    }
}

const route* find_route(const routing_configuration& configuration, std::string_view host,
                        std::string_view path)
{
    const auto found = configuration.m_routes_by_host.find(host);
    if (found == configuration.m_routes_by_host.end())
        return nullptr;
    const std::string_view path_without_query = path.substr(0, path.find_first_of("?#"));
    for (const std::size_t position : found->second) {
        const route& candidate = configuration.m_routes[position];
        if (path_without_query.compare(0, candidate.m_prefix.size(), candidate.m_prefix) == 0)
            return &candidate;
    }
    return nullptr;
}

} // namespace azureladder::routing
