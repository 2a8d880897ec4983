#pragma once

#include <azureladder/routing/route.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azureladder::routing {

/// Credits of the services of one route (smooth weighted round robin).
struct weighted_choice
{
    std::vector<std::int64_t> m_credits;
};

/// The next service of a route. Any run of picks has the proportions of the weights within one
/// pick for each service, so many nodes together keep them too. Null when all weights are 0.
const weighted_service* next_service(weighted_choice& state,
                                     const std::vector<weighted_service>& services);

} // namespace azureladder::routing
