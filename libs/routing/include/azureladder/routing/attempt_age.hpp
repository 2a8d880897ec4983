#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>

namespace azureladder::routing {

struct attempt_age_options
{
    /// Deadlines that differ by no more than this count as equal. Callers send theirs in whole
    /// milliseconds.
    duration m_tolerance = milliseconds(5);

    /// Weight of a new sample in the moving average of the share of first attempts.
    double m_sample_weight = 0.02;

    /// Smallest share of requests with the longest remaining time for that time to count as the
    /// callers' full deadline. Nested calls have varying remaining times, because these depend on
    /// the deadlines of their parent requests.
    double m_min_longest_share = 0.2;

    /// Share of requests with the longest remaining time below which that time is discarded,
    /// because the callers now use a shorter deadline.
    double m_reset_share = 0.01;

    /// Number of requests with a new longest time before that time may be discarded.
    std::uint32_t m_reset_after_requests = 250;
};

/// Longest remaining time to a deadline among the requests of one route.
struct deadline_history
{
    duration m_longest_remaining{};

    /// Share of recent requests with this remaining time, 0 to 1.
    double m_longest_share = 0.0;

    /// Number of requests since this remaining time was first seen.
    std::uint32_t m_requests_since_longest = 0;
};

/// Estimates the time since a caller's first attempt: the full deadline of the route's callers
/// minus `remaining`. Returns zero for first attempts and while the callers of the route have no
/// common deadline. The estimate is needed because latency counts from the first attempt, and
/// retries are not marked as such.
duration attempt_age(deadline_history& history, duration remaining,
                     const attempt_age_options& options);

} // namespace azureladder::routing
