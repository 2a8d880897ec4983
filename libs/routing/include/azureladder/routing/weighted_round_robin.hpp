#pragma once

#include <azureladder/routing/route.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azureladder::routing {

/// State of a smooth weighted round robin between the services of one route.
struct weighted_round_robin
{
    /// Current weight of each service; the next request goes to the largest.
    std::vector<std::int64_t> m_current_weights;
};

/// Selects the service for the next request, or returns null if all weights are 0. In any sequence
/// of selections each service's count differs from its exact share by at most one, so the requests
/// of many nodes together keep the proportions too.
const weighted_service* next_service(weighted_round_robin& state,
                                     const std::vector<weighted_service>& services);

} // namespace azureladder::routing
