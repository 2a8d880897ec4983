#pragma once

#include <azureladder/base/enum_names.hpp>
#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azureladder::records {

/// How an entry node selects an upstream of a service that is not divided by key.
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

/// Keys with a common prefix, which form a separate slice space named "service/group".
struct key_group
{
    std::string m_name;
    std::string m_prefix;
};

/// Declares a service and the availability zones where it may run. Schema versions 1 and 2 both
/// parse to it.
struct service_record
{
    std::string m_name;
    bool m_divided_by_key = false;

    /// Number of slices in each slice space of the service. Cannot be changed once accepted.
    std::uint32_t m_slices = 64;
    std::vector<key_group> m_key_groups;

    /// Availability zones where the service may run; all if empty.
    std::vector<std::string> m_zones;

    /// Maximum execution time of one request; zero if not set.
    duration m_max_execution{0};
    duration m_default_timeout = milliseconds(5000);
    selection_policy m_policy = selection_policy::two_choices;
    bool m_hedging = true;
};

} // namespace azureladder::records
