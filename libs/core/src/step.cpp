#include <azureladder/core/step.hpp>

#include "directory_poll.hpp"

#include <azureladder/base/precondition.hpp>
#include <azureladder/core/claims.hpp>
#include <azureladder/core/configuration.hpp>
#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

namespace azureladder::core {

node_state make_node_state(const node_identity& identity, const core_options& options,
                           std::uint64_t seed)
{
    AZURELADDER_PRECONDITION(!identity.m_node.empty(), "the node identity must have a name");
    AZURELADDER_PRECONDITION(!identity.m_zone.empty(),
                             "the node identity must have an availability zone");
    node_state state;
    state.m_identity = identity;
    state.m_options = options;
    state.m_random.m_state = seed;
    state.m_incarnation = random_value(state.m_random);
    return state;
}

effects step(node_state& state, time_point now, const event& input)
{
    effects output;
    // Configuration runs first, because ownership and routing use the revision in effect.
    step_configuration(state, now, input, output);
    if (const auto* answer = std::get_if<store_finished>(&input))
        record_polled_version(state, *answer);
    step_ownership(state, now, input, output);
    step_claims(state, now, input, output);
    step_routing(state, now, input, output);
    return output;
}

} // namespace azureladder::core
