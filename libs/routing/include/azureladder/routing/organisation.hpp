#pragma once

#include <azureladder/routing/quota.hpp>

#include <cstdint>
#include <string>

namespace azureladder::routing {

/// Customer of the operator.
struct organisation
{
    std::string m_name;

    /// Priority; 0 is the most urgent. It takes precedence over the priority of the route.
    std::uint32_t m_priority = 0;

    quota_limit m_limit;

    /// The operator's entry can't be used. Requests with its keys are refused as not executed.
    bool m_is_unusable = false;
};

/// Priority of a request in an admission queue: that of its organisation, then that of its route.
/// Equal to `route_priority` for the organisation priority 0, which requests without an
/// organisation have.
std::uint32_t combined_priority(std::uint32_t organisation_priority, std::uint32_t route_priority);

} // namespace azureladder::routing
