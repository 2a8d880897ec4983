#pragma once

#include <azureladder/core/random.hpp>
#include <azureladder/records/service_record.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Selection policies for spread services, as free functions over plain structs.
namespace azureladder::core {

/// State of an upstream that selection policies use.
struct upstream_candidate
{
    std::uint32_t m_in_flight = 0;

    /// Number of requests in flight from which the upstream counts as full, so that other zones are
    /// used.
    double m_limit = 1.0;
    double m_latency_us = 0.0;
    double m_reported_load = -1.0;
    bool m_local_zone = false;

    /// Ejected, unreachable or leaving; selected only when all upstreams are.
    bool m_avoided = false;
};

/// Index of the chosen upstream; unset when `choices` is empty.
std::optional<std::size_t> select_upstream(records::selection_policy policy,
                                           const std::vector<upstream_candidate>& choices,
                                           random_source& random, std::uint64_t& round_robin);

/// Power of two choices: the better of two random upstreams by (in flight x latency); the local
/// zone first.
std::size_t select_two_choices(const std::vector<upstream_candidate>& choices,
                               random_source& random);
std::size_t select_random(const std::vector<upstream_candidate>& choices, random_source& random);
std::size_t select_round_robin(const std::vector<upstream_candidate>& choices,
                               std::uint64_t& round_robin);
std::size_t select_least_reported_load(const std::vector<upstream_candidate>& choices,
                                       random_source& random);

} // namespace azureladder::core
