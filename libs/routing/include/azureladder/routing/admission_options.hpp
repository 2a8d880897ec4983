#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/routing/load_report.hpp>

#include <cstddef>
#include <cstdint>

namespace azureladder::routing {

struct admission_options
{
    /// Execution time assumed before the first sample.
    duration m_default_service_time = milliseconds(100);

    /// Weight of a new sample in the moving averages of execution time and failures.
    double m_sample_weight = 0.1;

    /// Time without samples after which the moving averages start to decay to their defaults, so
    /// that a backend server that was slow receives requests again.
    duration m_decay_after = seconds(3);

    /// Largest predicted sum of wait and execution time, as a fraction of the time to the request's
    /// target. Below 1, since half of the executions take longer than the mean.
    double m_max_target_share = 0.9;

    /// The same limit for short requests and calls, as a fraction of the time to their deadline. A
    /// request is short if its expected execution time is at most half of the mean of the running
    /// requests.
    double m_short_max_deadline_share = 0.7;

    /// Share of its expected execution time that a waiting request needs before its target; with
    /// less, it counts as late and waits behind those that can meet theirs. Below 1, since
    /// executions are shorter than their mean most of the time and three times as long for the
    /// rest.
    double m_min_target_share = 0.75;

    /// Time for which requests that can meet their target have to wait without a gap to count as a
    /// standing queue. Such a queue isn't caused by a burst: the load exceeds the capacity, and a
    /// longer queue doesn't increase the throughput but makes all responses late. Well above the
    /// mean execution times.
    duration m_standing_queue_after = milliseconds(500);

    /// Longest predicted wait in a standing queue, as a fraction of the time to the target. Long
    /// enough for several completions, so that the server's slots stay in use.
    double m_standing_queue_max_target_share = 0.15;

    /// Largest predicted sum of wait and execution time for requests that can't meet their target,
    /// as a fraction of the time to their deadline. Half, so that few of them are overtaken by
    /// other requests until their deadline.
    double m_late_max_deadline_share = 0.5;

    /// Time constant of the measured arrivals that the leftover capacity is derived from. Some
    /// dozens of arrivals at most servers, and below the length of bursts.
    duration m_offered_load_time = seconds(1);

    /// Smallest share of the capacity that counts as left over. Below it, the statistical error of
    /// the arrivals exceeds the share.
    double m_min_leftover_share = 0.05;

    /// Request rate to a cold backend server, as a multiple of the configured cold rate. The
    /// operator's limit is 1.5 times that rate plus a few requests.
    double m_cold_rate_factor = 1.15;

    /// Largest number of routes with execution times in a load report, up to `max_reported_routes`.
    std::size_t m_max_reported_routes = max_reported_routes;

    /// Time after its last execution for which a route is included in load reports.
    duration m_route_report_period = seconds(20);

    /// Largest wait in a load report; stands for all longer ones, and for new requests that may not
    /// start at all.
    duration m_max_reported_wait = seconds(10);

    /// Range of the retry delay that a rejection recommends.
    duration m_min_retry_after = milliseconds(50);
    duration m_max_retry_after = seconds(2);

    /// Longest retry delay as a fraction of the time to the deadline. Callers do not wait for more
    /// than a third of it.
    double m_max_retry_deadline_share = 0.32;
};

} // namespace azureladder::routing
