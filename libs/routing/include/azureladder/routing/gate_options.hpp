#pragma once

#include <azureladder/base/time.hpp>

#include <cstddef>
#include <cstdint>

namespace azureladder::routing {

struct gate_options
{
    /// Execution time assumed before the first measurement.
    duration m_default_service_time = milliseconds(100);

    /// Weight of a new sample in the means of execution time and failures.
    double m_sample_weight = 0.1;

    /// Time without samples after which the means begin to return to their defaults, so that a
    /// backend server that was slow gets requests again.
    duration m_forget_after = seconds(3);

    /// Part of the time to a request's target that waiting and executing may be predicted to take.
    /// Below 1, since executions take longer than their mean in half of the cases.
    double m_target_share = 0.9;

    /// Same for requests whose execution takes at most half of the mean of those running, as a
    /// part of the time to their deadline.
    double m_short_deadline_share = 0.7;

    /// A queue that has not been empty for this long does not come from a burst: the load exceeds
    /// the capacity, and a longer wait serves no more requests but makes all answers late. Well
    /// above the mean execution times.
    duration m_standing_queue_after = milliseconds(500);

    /// Longest predicted wait in such a queue, as a part of the time to the target. Some
    /// completions of a server, so that its slots stay in use.
    double m_standing_queue_share = 0.15;

    /// Same for callers that come back and can't be answered before their target. Half, so that few
    /// of them are passed by others until their deadline.
    double m_late_deadline_share = 0.5;

    /// Requests a second to a cold backend server, as a multiple of its stated rate. The
    /// operator's bound is 1.5 times the rate and some requests more.
    double m_cold_rate_share = 1.15;

    /// Routes whose execution times a report states, and for how long after their last execution.
    /// Few routes of a service cause nearly all of its work.
    std::size_t m_reported_routes = 4;
    duration m_report_routes_for = seconds(20);

    /// Shortest and longest wait that a refusal advises.
    duration m_min_retry_after = milliseconds(50);
    duration m_max_retry_after = seconds(2);
};

} // namespace azureladder::routing
