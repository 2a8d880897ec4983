#include <azureladder/routing/weighted_choice.hpp>

namespace azureladder::routing {

const weighted_service* next_service(weighted_choice& state,
                                     const std::vector<weighted_service>& services)
{
    if (state.m_credits.size() != services.size())
        state.m_credits.assign(services.size(), 0);
    std::int64_t total = 0;
    std::size_t best = services.size();
    for (std::size_t i = 0; i < services.size(); ++i) {
        if (services[i].m_weight == 0)
            continue;
        total += services[i].m_weight;
        state.m_credits[i] += services[i].m_weight;
        if (best == services.size() || state.m_credits[i] > state.m_credits[best])
            best = i;
    }
    if (best == services.size())
        return nullptr;
    state.m_credits[best] -= total;
    return &services[best];
}

} // namespace azureladder::routing
