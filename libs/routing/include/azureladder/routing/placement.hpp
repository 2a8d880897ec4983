#pragma once

#include <azureladder/routing/gate_report.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace azureladder::routing {

struct placement_options
{
    /// Latency that a node in another zone must save to be worth the price of the link.
    duration m_zone_penalty = milliseconds(60);

    /// Expected latency that a failed execution adds, since the caller has to repeat it.
    duration m_failure_penalty = milliseconds(1000);

    /// Service time assumed before the first measurement.
    duration m_default_service_time = milliseconds(100);

    /// Difference in cost at which a gate is chosen about a third as often, as a share of the best
    /// cost. Nodes have old reports of each other, so all of them taking the best gate at the same
    /// time would overload it.
    double m_spread = 0.35;

    /// Age at which a reported load counts about a third.
    duration m_report_life = milliseconds(1500);
};

/// A gate that may take the request.
struct placement_candidate
{
    gate_report m_report;

    /// Expected execution time of the request there; zero: the mean of the report.
    duration m_service_time{};

    /// Requests that this node has sent there since the report and that have no answer yet.
    std::uint32_t m_sent_since_report = 0;

    /// Time since the report.
    duration m_report_age{};

    bool m_same_zone = false;

    /// Round trip to the node.
    duration m_distance{};
};

/// Time from sending a request to its answer at this gate, with the penalties of the options.
duration expected_cost(const placement_candidate& candidate, const placement_options& options);

/// The time a request waits before it starts at this gate.
duration expected_wait(const placement_candidate& candidate, const placement_options& options);

/// Sets the expected execution times of a request of one route. A gate that has not executed the
/// route lately gets the mean of those that have.
void set_service_times(std::vector<placement_candidate>& candidates, std::uint32_t route);

/// Position of the candidate to take, or `candidates.size()` when none is open. Chosen at random,
/// gates of low cost and high capacity more often. Gates of other zones take part only when the
/// best of them is better than all of the own zone.
std::size_t choose_candidate(const std::vector<placement_candidate>& candidates,
                             const placement_options& options, std::uint64_t random);

} // namespace azureladder::routing
