#pragma once

#include <azureladder/base/enum_names.hpp>
#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azureladder::records {

/// How an entry node chooses among the upstreams of a service that is not divided by key.
enum class selection_policy
{
    two_choices,
    random,
    round_robin,
    least_reported_load
};

inline constexpr enum_name<selection_policy> selection_policy_names[] = {
    {selection_policy::two_choices, "two_choices"},
    {selection_policy::random, "random"},
    {selection_policy::round_robin, "round_robin"},
    {selection_policy::least_reported_load, "least_reported_load"},
};

/// Keys with a common prefix that form a slice space of their own, named "service/name".
struct key_group
{
    std::string m_name;
    std::string m_prefix;
};

/// States that a service exists and where it may run. Schema versions 1 and 2 parse to this.
struct service_record
{
    std::string m_name;
    bool m_divided_by_key = false;

    /// Slices of each slice space of the service. Cannot change once accepted.
    std::uint32_t m_slices = 64;
    std::vector<key_group> m_key_groups;

    /// Availability zones where the service may run; empty allows all.
    std::vector<std::string> m_zones;

    /// Longest execution of one request; zero when not stated.
    duration m_max_execution{0};
    duration m_default_timeout = milliseconds(5000);
    selection_policy m_policy = selection_policy::two_choices;
    bool m_hedging = true;
};

} // namespace azureladder::records
