#pragma once

#include <cstddef>

namespace azureladder::sidecar_runtime {

/// Limits of accepted connections, so that none of the listeners uses up the descriptors that the
/// others, the store, the backend server and known peers need.
struct connection_limits
{
    std::size_t m_callers = 0;

    /// At the registry, readiness and metrics address, each.
    std::size_t m_control = 0;

    /// At the peer address, of connections that have not named their node yet.
    std::size_t m_unidentified_peers = 0;
};

/// Limits for a process that may open `max_descriptors` descriptors.
connection_limits connection_limits_for(std::size_t max_descriptors);

/// Number of descriptors that this process may open.
std::size_t descriptor_limit();

} // namespace azureladder::sidecar_runtime
