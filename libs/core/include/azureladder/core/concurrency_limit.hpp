#pragma once

#include <azureladder/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/// Limit of the requests in flight on the backend server beside the node.
namespace azureladder::core {

/// Slow start after a cold start, additive increase in normal operation, multiplicative decrease
/// on refusals.
struct concurrency_limit
{
    /// Most requests that the backend server accepts at once: slots, or connections when fewer.
    std::uint32_t m_maximum = 0;
    double m_limit = 0.0;
    std::uint32_t m_in_flight = 0;

    /// Whether the limit doubles (after a cold start) or grows by one.
    bool m_slow_start = false;

    /// Successes since the limit last grew.
    std::uint32_t m_successes = 0;

    /// Refusals of requests that were dispatched before this time belong to the last decrease.
    time_point m_last_decrease{};

    /// Estimated median latency in normal operation, in microseconds; zero until known.
    double m_usual_latency_us = 0.0;
    std::uint32_t m_usual_samples = 0;

    /// Latest latencies and the time of the latest refusal or error, to detect a backend server
    /// that became cold without notice.
    static constexpr std::size_t recent_count = 8;
    std::array<double, recent_count> m_recent_us{};
    std::uint32_t m_recent_samples = 0;
    time_point m_last_failure{};
    bool m_failed_once = false;
};

/// Requests that may be in flight now; zero while no backend server is known.
std::uint32_t current_limit(const concurrency_limit& limit);

/// Sets the number of requests that the backend server accepts at once.
void set_maximum(concurrency_limit& limit, std::uint32_t maximum);

/// Starts at one request in flight, because a cold backend server fails under full load.
void start_cold(concurrency_limit& limit, time_point now);

enum class limit_change
{
    none,
    raised,
    lowered,
    cold
};

/// Accounts a whole reply that took `latency`.
limit_change note_success(concurrency_limit& limit, duration latency, time_point now);

/// Accounts a refusal of a request dispatched at `started`.
limit_change note_refusal(concurrency_limit& limit, time_point started, time_point now);

/// Accounts an attempt without a whole reply. The limit is lowered as for a refusal.
limit_change note_failure(concurrency_limit& limit, time_point started, time_point now);

} // namespace azureladder::core
