#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/ids.hpp>
#include <azureladder/core/backend_info.hpp>
#include <azureladder/core/claims_state.hpp>
#include <azureladder/core/configuration_state.hpp>
#include <azureladder/core/core_options.hpp>
#include <azureladder/core/directory.hpp>
#include <azureladder/core/ownership_state.hpp>
#include <azureladder/core/random.hpp>
#include <azureladder/core/routing_state.hpp>

#include <optional>
#include <string>

namespace azureladder::core {

/// Identity of the node, from its settings.
struct node_identity
{
    node_id m_node;
    std::string m_zone;
    endpoint m_http_address;
    endpoint m_peer_address;
};

/// Complete state of the reducer.
struct node_state
{
    core_options m_options;
    node_identity m_identity;

    /// Current incarnation. The ownership module generates a new one when the node was fenced, lost
    /// its witnesses or was paused for too long.
    incarnation_id m_incarnation = 0;

    /// Last announcement of the local backend server, and the time of its receipt.
    std::optional<backend_info> m_backend;
    time_point m_backend_announced_at{};

    bool m_stopping = false;
    random_source m_random;
    operation_id m_last_operation = 0;

    directory_state m_directory;
    configuration_state m_configuration;
    ownership_state m_ownership;
    routing_state m_routing;
    claims_state m_claims;
};

inline member_id self(const node_state& state)
{
    return {state.m_identity.m_node, state.m_incarnation};
}

inline operation_id next_operation(node_state& state)
{
    return ++state.m_last_operation;
}

} // namespace azureladder::core
