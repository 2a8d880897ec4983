#pragma once

#include <azureladder/routing/load_report.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace azureladder::routing {

struct server_selection_options
{
    /// Cost of sending a request to another availability zone: latency that a server there has to
    /// save to outweigh the price of the traffic.
    duration m_cross_zone_penalty = milliseconds(60);

    /// Latency that a failed execution adds, since the caller has to retry.
    duration m_failure_penalty = milliseconds(1000);

    /// Execution time assumed before the first sample.
    duration m_default_service_time = milliseconds(100);

    /// Softmax temperature of the selection, as a fraction of the lowest cost: a server whose cost
    /// is higher by this difference is selected 1/e times as often. Nodes have outdated reports of
    /// each other, so sending all requests to the best server would overload it.
    double m_softmax_temperature = 0.35;

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
};

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
