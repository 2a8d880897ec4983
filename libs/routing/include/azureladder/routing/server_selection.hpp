#pragma once

#include <azureladder/routing/load_report.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace azureladder::routing {

struct server_selection_options
{
    /// Cost of sending a request to another availability zone: latency that a server there has to
    /// save to outweigh the price of the traffic. Applies if the time to the target is unknown.
    duration m_cross_zone_penalty = milliseconds(60);

    /// The same as a fraction of the time left to the request's target, and its lowest value, above
    /// the round-trip time between zones.
    double m_cross_zone_target_share = 0.15;
    duration m_min_cross_zone_penalty = milliseconds(15);

    /// Whether the time left to the target decides about zones and about the spread.
    bool m_uses_target = true;

    /// Latency that a failed execution adds, since the caller has to retry.
    duration m_failure_penalty = milliseconds(1000);

    /// Execution time assumed before the first sample.
    duration m_default_service_time = milliseconds(100);

    /// Softmax temperature of the selection, as a fraction of the lowest cost: a server whose cost
    /// is higher by this difference is selected 1/e times as often. Nodes have outdated reports of
    /// each other, so sending all requests to the best server would overload it.
    double m_softmax_temperature = 0.35;

    /// Lowest softmax temperature, as a fraction of the time left to the request's target. A
    /// shorter difference hardly matters to the caller, and following it sends most requests to the
    /// servers that were fast a moment ago.
    double m_target_temperature = 0.6;

    /// Lowest softmax temperature. Set by `options_for_target`.
    duration m_min_temperature{};

    /// Time constant of the exponential decay with which a load report loses its weight.
    duration m_report_time_constant = milliseconds(1500);
};

/// Backend server that may receive the request.
struct server_candidate
{
    load_report m_report;

    /// Expected execution time of the request on this server; zero to use the mean of the report.
    duration m_service_time{};

    /// Number of unanswered requests that this node has sent to the server since the report.
    std::uint32_t m_sent_since_report = 0;

    /// Age of the report.
    duration m_report_age{};

    /// Whether the server is in the availability zone of this node.
    bool m_same_zone = false;

    /// Round-trip time to the server's node.
    duration m_round_trip_time{};

    /// Time to transfer the request's body to the server's node.
    duration m_transfer_time{};
};

/// Options for a request with `time_left` to its target, which may have passed (negative).
server_selection_options options_for_target(const server_selection_options& options,
                                            duration time_left);

/// Time to transfer `bytes` over the slower of two links, in Mbit/s. Links of unknown bandwidth (0)
/// don't count; zero if both are unknown.
duration transfer_time(std::size_t bytes, double own_link_mbps, double peer_link_mbps);

/// Expected latency of a request on this server, plus the penalties of the options.
duration expected_cost(const server_candidate& candidate, const server_selection_options& options);

/// Expected queueing time of a request on this server.
duration expected_wait(const server_candidate& candidate, const server_selection_options& options);

/// Sets the expected execution time of a request of one route for each candidate. Servers that have
/// not reported the route get the mean of those that have.
void set_service_times(std::vector<server_candidate>& candidates, std::uint32_t route);

/// Selects a candidate by weighted random choice and returns its index, or `candidates.size()` if
/// none accepts requests. Servers with a low cost and a high capacity are more likely. Servers in
/// other availability zones are considered only if the best of them has a lower cost than all in
/// this node's zone.
std::size_t select_server(const std::vector<server_candidate>& candidates,
                          const server_selection_options& options, std::uint64_t random);

} // namespace azureladder::routing
