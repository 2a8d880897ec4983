#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/routing/request_kind.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azureladder::routing {

/// Service with its weight in a route.
struct weighted_service
{
    std::string m_service;
    std::uint32_t m_weight = 1;
};

/// Route for the requests to one host below one path prefix.
struct route
{
    std::string m_name;
    std::string m_host;

    /// Path prefix; starts and ends with a slash.
    std::string m_prefix;

    request_kind m_kind = request_kind::non_idempotent;

    /// Longest time that a caller waits for its response.
    duration m_timeout{};

    /// Target latency of a response.
    duration m_latency_objective{};

    /// Priority; 0 is the most urgent. Routes of clients and of calls may have the same.
    std::uint32_t m_priority = 0;

    /// Maximum number of backend servers that one request of a caller may be sent to.
    std::uint32_t m_attempt_limit = 1;

    /// Services that share the requests of the route, by weight.
    std::vector<weighted_service> m_services;

    /// Requests need no key of an organisation.
    bool m_allows_anonymous = false;

    /// The operator's entry can't be used. Its requests are refused as not executed, since another
    /// route, or none, would be wrong for them.
    bool m_is_unusable = false;
};

} // namespace azureladder::routing
