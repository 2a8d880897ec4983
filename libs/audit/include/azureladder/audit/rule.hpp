#pragma once

#include <azureladder/base/enum_names.hpp>

namespace azureladder::audit {

/// Rules of docs/design.md, section 1.3, that can be checked from logs.
enum class rule
{
    single_owner,
    at_most_once,
    truthful_refusal,
    truthful_success,
    right_answer,
    cold_bound,
    removed_zone,
    removed_server,
    configuration_monotonic,
    configuration_in_effect,
    graceful_stop,
};

inline constexpr enum_name<rule> rule_names[] = {
    {rule::single_owner, "single_owner"},
    {rule::at_most_once, "at_most_once"},
    {rule::truthful_refusal, "truthful_refusal"},
    {rule::truthful_success, "truthful_success"},
    {rule::right_answer, "right_answer"},
    {rule::cold_bound, "cold_bound"},
    {rule::removed_zone, "removed_zone"},
    {rule::removed_server, "removed_server"},
    {rule::configuration_monotonic, "configuration_monotonic"},
    {rule::configuration_in_effect, "configuration_in_effect"},
    {rule::graceful_stop, "graceful_stop"},
};

constexpr std::string_view to_string(rule value)
{
    return find_enum_name(rule_names, value);
}

} // namespace azureladder::audit
