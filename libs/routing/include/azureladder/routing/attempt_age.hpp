#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>

namespace azureladder::routing {

struct attempt_age_options
{
    /// Callers state whole milliseconds, and their first attempts differ by no more than this.
    duration m_tolerance = milliseconds(5);

    /// Weight of a request in the share of first attempts.
    double m_weight = 0.02;

    /// Share of requests with the longest time from which on that time is taken for the callers'
    /// full deadline. Times of calls are spread, because they depend on their parents' deadlines.
    double m_min_share = 0.2;

    /// Share below which the longest time is forgotten, once so many requests have come since it
    /// was first stated: the callers' deadline has become shorter.
    double m_forget_share = 0.01;
    std::uint32_t m_forget_after = 250;
};

/// The longest time to a deadline that the callers of one route have stated.
struct deadline_history
{
    duration m_longest{};

    /// Share of recent requests that stated it, 0 to 1, and requests since it was first stated.
    double m_share = 0.0;
    std::uint32_t m_requests = 0;
};

/// Time since the first attempt of a caller that has `remaining` left, from the time that first
/// attempts have. Zero for first attempts, and while the callers of the route have no common
/// deadline. Latency counts from the first attempt, but a further one does not say that it is one.
duration attempt_age(deadline_history& history, duration remaining,
                     const attempt_age_options& options);

} // namespace azureladder::routing
