#include "connection_limits.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace azureladder::sidecar_runtime {

namespace {

/// Shares of the descriptors. At 4,100, the fewest of a VM, callers have 2,500.
constexpr double caller_share = 0.61;
constexpr double control_share = 1.0 / 32;
constexpr double unidentified_peer_share = 1.0 / 8;

/// Limits that hold with any number of descriptors. Each connection of a caller takes memory, too.
constexpr std::size_t max_callers = 2500;
constexpr std::size_t min_control = 8;
constexpr std::size_t max_control = 256;
constexpr std::size_t min_unidentified_peers = 16;
constexpr std::size_t max_unidentified_peers = 1024;

std::size_t share(std::size_t max_descriptors, double fraction)
{
    return static_cast<std::size_t>(static_cast<double>(max_descriptors) * fraction);
}

} // namespace

connection_limits connection_limits_for(std::size_t max_descriptors)
{
    connection_limits limits;
    limits.m_callers =
        std::clamp<std::size_t>(share(max_descriptors, caller_share), 1, max_callers);
    limits.m_control = std::clamp(share(max_descriptors, control_share), min_control, max_control);
    limits.m_unidentified_peers = std::clamp(share(max_descriptors, unidentified_peer_share),
                                             min_unidentified_peers, max_unidentified_peers);
    return limits;
}

std::size_t descriptor_limit()
{
    constexpr std::size_t fallback = 4096;
    rlimit limit{};
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur)
                                                 : fallback;
}

} // namespace azureladder::sidecar_runtime
