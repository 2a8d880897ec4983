#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/routing/quota.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace azureladder::sidecar {

/// Quotas of organisations at one node: as the node that counts, and as an ingress.
struct quota_counting
{
    /// Buckets of the organisations that this node counts for, or did shortly before.
    std::map<std::string, routing::quota_bucket, std::less<>> m_buckets;

    /// Shares of this node while it can't ask the counting node, by organisation.
    std::map<std::string, routing::fallback_bucket, std::less<>> m_fallbacks;

    /// Number of nodes of the deployment, this one included. Unreachable nodes count until the
    /// store does not list them any more.
    std::size_t m_known_nodes = 1;

    /// Time of the newest frame of any peer.
    time_point m_last_peer_frame_at;

    time_point m_next_check_at;
};

} // namespace azureladder::sidecar
