#pragma once

#include <azureladder/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/// Concurrency limit for requests in flight on the local backend server.
namespace azureladder::core {

/// Adaptive limit: slow start after a cold start, additive increase in normal operation and
/// multiplicative decrease on refusals and failures.
struct concurrency_limit
{
    /// Upper bound of the limit: slots of the backend server, or its connections when fewer.
    std::uint32_t m_maximum = 0;
    double m_limit = 0.0;
    std::uint32_t m_in_flight = 0;

    /// Whether the limit doubles, as it does after a cold start; otherwise it increases by one.
    bool m_slow_start = false;

    /// Replies since the limit last changed or a failure was recorded.
    std::uint32_t m_successes = 0;

    /// Time of the last decrease. Refusals of requests dispatched before it are already accounted
    /// for by that decrease.
    time_point m_last_decrease{};

    /// Estimated median latency in normal operation in microseconds; zero until the first sample.
    double m_baseline_latency_us = 0.0;
    std::uint32_t m_baseline_samples = 0;

    /// Latest latencies in microseconds and the time of the latest refusal or failure, used to
    /// detect a backend server that became cold without announcing it.
    static constexpr std::size_t recent_latency_count = 8;
    std::array<double, recent_latency_count> m_recent_latencies_us{};
    std::uint32_t m_recent_samples = 0;
    time_point m_last_failure{};
    bool m_has_failure = false;
};

/// Requests that may be in flight now; zero before the first announcement of a backend server.
std::uint32_t current_limit(const concurrency_limit& limit);

/// Sets the upper bound of the limit and reduces a higher limit to it.
void set_maximum(concurrency_limit& limit, std::uint32_t maximum);

/// Restarts the limit at one request in flight, because a cold backend server fails under full
/// load.
void enter_slow_start(concurrency_limit& limit, time_point now);

/// Effect of an outcome on the limit. `cold` is a restart with slow start after a detected cold
/// start.
enum class limit_change
{
    none,
    increased,
    decreased,
    cold
};

/// Records a complete reply that took `latency`.
limit_change record_success(concurrency_limit& limit, duration latency, time_point now);

/// Records a refusal of a request dispatched at `started`.
limit_change record_refusal(concurrency_limit& limit, time_point started, time_point now);

/// Records an attempt without a complete reply. The limit is decreased as for a refusal.
limit_change record_failure(concurrency_limit& limit, time_point started, time_point now);

} // namespace azureladder::core
