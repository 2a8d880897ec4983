#include "selection.hpp"

#include <algorithm>

namespace azureladder::core {

namespace {

using index_list = std::vector<std::size_t>;

template <class Predicate>
index_list indices_where(const std::vector<upstream_candidate>& choices, Predicate predicate)
{
    index_list found;
    for (std::size_t index = 0; index < choices.size(); ++index) {
        if (predicate(choices[index]))
            found.push_back(index);
    }
    return found;
}

/// Upstreams that are not avoided, or all upstreams if every one is.
index_list not_avoided(const std::vector<upstream_candidate>& choices)
{
    auto found = indices_where(choices, [](const auto& choice) { return !choice.m_avoided; });
    return found.empty() ? indices_where(choices, [](const auto&) { return true; }) : found;
}

bool has_free_capacity(const upstream_candidate& choice)
{
    return static_cast<double>(choice.m_in_flight) < choice.m_limit;
}

/// Candidates in order of preference: local zone with free capacity, any zone with free capacity,
/// all upstreams that are not avoided, all upstreams.
index_list preferred_group(const std::vector<upstream_candidate>& choices)
{
    auto group = indices_where(choices, [](const auto& choice) {
        return !choice.m_avoided && choice.m_local_zone && has_free_capacity(choice);
    });
    if (group.empty())
        group = indices_where(choices, [](const auto& choice) {
            return !choice.m_avoided && has_free_capacity(choice);
        });
    return group.empty() ? not_avoided(choices) : group;
}

double expected_cost(const upstream_candidate& choice)
{
    // An unmeasured upstream has the lowest cost until requests to it are in flight; the minimum
    // lets its cost grow with them.
    const double latency = std::max(choice.m_latency_us, 1.0);
    return (choice.m_in_flight + 1.0) * latency;
}

} // namespace

std::size_t select_two_choices(const std::vector<upstream_candidate>& choices,
                               random_source& random)
{
    const auto group = preferred_group(choices);
    const auto first = random_below(random, group.size());
    if (group.size() == 1)
        return group.front();
    // The second draw skips the first index, so that both differ.
    auto second = random_below(random, group.size() - 1);
    if (second >= first)
        ++second;
    return expected_cost(choices[group[second]]) < expected_cost(choices[group[first]])
               ? group[second]
               : group[first];
}

std::size_t select_random(const std::vector<upstream_candidate>& choices, random_source& random)
{
    const auto group = not_avoided(choices);
    return group[random_below(random, group.size())];
}

std::size_t select_round_robin(const std::vector<upstream_candidate>& choices,
                               std::uint64_t& round_robin)
{
    const auto group = not_avoided(choices);
    return group[round_robin++ % group.size()];
}

std::size_t select_least_reported_load(const std::vector<upstream_candidate>& choices,
                                       random_source& random)
{
    const auto group = not_avoided(choices);
    double least = choices[group.front()].m_reported_load;
    for (const auto index : group)
        least = std::min(least, choices[index].m_reported_load);
    index_list equal;
    for (const auto index : group) {
        if (choices[index].m_reported_load <= least)
            equal.push_back(index);
    }
    return equal[random_below(random, equal.size())];
}

std::optional<std::size_t> select_upstream(records::selection_policy policy,
                                           const std::vector<upstream_candidate>& choices,
                                           random_source& random, std::uint64_t& round_robin)
{
    if (choices.empty())
        return std::nullopt;
    switch (policy) {
    case records::selection_policy::random:
        return select_random(choices, random);
    case records::selection_policy::round_robin:
        return select_round_robin(choices, round_robin);
    case records::selection_policy::least_reported_load:
        return select_least_reported_load(choices, random);
    case records::selection_policy::two_choices:
        break;
    }
    return select_two_choices(choices, random);
}

} // namespace azureladder::core
