#pragma once

#include <azureladder/base/time.hpp>

#include <array>
#include <cstdint>

/// Limits retries or hedges to a share of the recent requests, so that failures cannot multiply
/// the load.
namespace azureladder::core {

/// Requests and additional attempts of the last `budget_seconds`, in steps of one second.
struct attempt_budget
{
    static constexpr std::int64_t budget_seconds = 10;

    struct bucket
    {
        std::int64_t m_second = -1;
        std::uint32_t m_requests = 0;
        std::uint32_t m_spent = 0;
    };

    std::array<bucket, budget_seconds> m_buckets;

    /// Additional attempts that are allowed in the period whatever the number of requests, so that
    /// a service with little traffic can still retry.
    std::uint32_t m_floor = 0;
};

/// Counts a request that earns a share of an additional attempt.
void count_request(attempt_budget& budget, time_point now);

/// Takes one additional attempt when the budget of `permille` of recent requests allows it.
bool take_attempt(attempt_budget& budget, time_point now, std::uint32_t permille);

/// Additional attempts that may be made now.
std::uint32_t attempts_left(const attempt_budget& budget, time_point now, std::uint32_t permille);

} // namespace azureladder::core
