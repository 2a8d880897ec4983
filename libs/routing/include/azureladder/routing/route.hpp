#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/routing/request_kind.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azureladder::routing {

/// One of the services that share the requests of a route.
struct weighted_service
{
    std::string m_service;
    std::uint32_t m_weight = 1;
};

/// Requests of one host below one path prefix.
struct route
{
    std::string m_name;
    std::string m_host;

    /// Begins and ends with a slash.
    std::string m_prefix;

    request_kind m_kind = request_kind::non_idempotent;

    /// Longest time that a caller is kept waiting.
    duration m_timeout{};

    /// Time within which an answer is worth most to the caller.
    duration m_latency_objective{};

    /// Rank; 0 is the most urgent.
    std::uint32_t m_priority = 0;

    /// Largest number of backend servers that may get one attempt of a caller.
    std::uint32_t m_attempts = 1;

    /// One entry for a route to a single service.
    std::vector<weighted_service> m_services;
};

} // namespace azureladder::routing
