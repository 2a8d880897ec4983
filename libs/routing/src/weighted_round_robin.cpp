#include <azureladder/routing/weighted_round_robin.hpp>

namespace azureladder::routing {

const weighted_service* next_service(weighted_round_robin& state,
                                     const std::vector<weighted_service>& services)
{
    if (state.m_current_weights.size() != services.size())
        state.m_current_weights.assign(services.size(), 0);
    std::int64_t total = 0;
    std::size_t best = services.size();
    for (std::size_t i = 0; i < services.size(); ++i) {
        if (services[i].m_weight == 0)
            continue;
        total += services[i].m_weight;
        state.m_current_weights[i] += services[i].m_weight;
        if (best == services.size() || state.m_current_weights[i] > state.m_current_weights[best])
            best = i;
    }
    if (best == services.size())
        return nullptr;
    state.m_current_weights[best] -= total;
    return &services[best];
}

} // namespace azureladder::routing
