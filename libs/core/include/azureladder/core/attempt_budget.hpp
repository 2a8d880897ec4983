#pragma once

#include <azureladder/base/time.hpp>

#include <array>
#include <cstdint>

/// Limits retries or hedges to a share of the recent requests, so that failures do not multiply the
/// load.
namespace azureladder::core {

/// Requests and additional attempts of the last `window_seconds`, counted per second.
struct attempt_budget
{
    static constexpr std::int64_t window_seconds = 10;

    /// Counts of one second.
    struct bucket
    {
        std::int64_t m_second = -1;
        std::uint32_t m_requests = 0;
        std::uint32_t m_used = 0;
    };

    std::array<bucket, window_seconds> m_buckets;

    /// Additional attempts that are allowed within the window regardless of the number of requests,
    /// so that a service with little traffic can still retry.
    std::uint32_t m_min_attempts = 0;
};

/// Adds a request to the window, which raises the number of allowed additional attempts.
void count_request(attempt_budget& budget, time_point now);

/// Takes one additional attempt from the budget of `permille` thousandths of the recent requests;
/// returns false when the budget is used up.
bool try_take_attempt(attempt_budget& budget, time_point now, std::uint32_t permille);

/// Number of additional attempts that the budget allows now.
std::uint32_t remaining_attempts(const attempt_budget& budget, time_point now,
                                 std::uint32_t permille);

} // namespace azureladder::core
