#include <azureladder/core/concurrency_limit.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

/// Factor by which a refusal or failure decreases the limit.
constexpr double decrease_factor = 0.7;

/// A backend server is considered cold when its recent median latency reaches this multiple of the
/// median in normal operation.
constexpr double cold_latency_factor = 4.0;

/// Samples before the estimated median is used, and the share by which each sample changes it.
constexpr std::uint32_t min_baseline_samples = 32;
constexpr double baseline_adjustment = 0.02;

/// A cold start is detected only within this time after a refusal or failure.
constexpr duration failure_window = seconds(2);

bool failed_recently(const concurrency_limit& limit, time_point now)
{
    return limit.m_has_failure && now - limit.m_last_failure <= failure_window;
}

bool detects_cold_start(const concurrency_limit& limit, time_point now)
{
    if (limit.m_slow_start || !failed_recently(limit, now) ||
        limit.m_baseline_samples < min_baseline_samples ||
        limit.m_recent_samples < concurrency_limit::recent_latency_count)
        return false;
    auto sorted = limit.m_recent_latencies_us;
    auto* middle = sorted.begin() + sorted.size() / 2;
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle >= cold_latency_factor * limit.m_baseline_latency_us;
}

/// Moves the estimated median towards the sample by a fixed share.
void update_baseline_latency(concurrency_limit& limit, double latency_us)
{
    if (limit.m_baseline_samples == 0)
        limit.m_baseline_latency_us = std::max(latency_us, 1.0);
    else if (latency_us > limit.m_baseline_latency_us)
        limit.m_baseline_latency_us *= 1.0 + baseline_adjustment;
    else
        limit.m_baseline_latency_us *= 1.0 - baseline_adjustment;
    ++limit.m_baseline_samples;
}

limit_change increase_limit(concurrency_limit& limit)
{
    const auto maximum = static_cast<double>(limit.m_maximum);
    if (++limit.m_successes < current_limit(limit) || limit.m_limit >= maximum)
        return limit_change::none;
    limit.m_successes = 0;
    limit.m_limit = std::min(maximum, limit.m_slow_start ? limit.m_limit * 2 : limit.m_limit + 1);
    if (limit.m_limit >= maximum)
        limit.m_slow_start = false;
    return limit_change::increased;
}

limit_change decrease_limit(concurrency_limit& limit, time_point started, time_point now)
{
    limit.m_last_failure = now;
    limit.m_has_failure = true;
    limit.m_successes = 0;
    if (detects_cold_start(limit, now)) {
        enter_slow_start(limit, now);
        return limit_change::cold;
    }
    if (limit.m_limit <= 1.0 || started < limit.m_last_decrease)
        return limit_change::none;
    limit.m_limit = std::max(1.0, limit.m_limit * decrease_factor);
    limit.m_last_decrease = now;
    return limit_change::decreased;
}

} // namespace

std::uint32_t current_limit(const concurrency_limit& limit)
{
    return static_cast<std::uint32_t>(limit.m_limit);
}

void set_maximum(concurrency_limit& limit, std::uint32_t maximum)
{
    limit.m_maximum = maximum;
    limit.m_limit = std::min(limit.m_limit, static_cast<double>(maximum));
}

void enter_slow_start(concurrency_limit& limit, time_point now)
{
    limit.m_limit = std::min(1.0, static_cast<double>(limit.m_maximum));
    limit.m_slow_start = true;
    limit.m_successes = 0;
    limit.m_recent_samples = 0;
    limit.m_has_failure = false;
    limit.m_last_decrease = now;
}

limit_change record_success(concurrency_limit& limit, duration latency, time_point now)
{
    const auto latency_us = static_cast<double>(latency.count());
    limit.m_recent_latencies_us[limit.m_recent_samples % concurrency_limit::recent_latency_count] =
        latency_us;
    ++limit.m_recent_samples;
    if (detects_cold_start(limit, now)) {
        enter_slow_start(limit, now);
        return limit_change::cold;
    }
    // Latencies during slow start are those of a cold server.
    if (!limit.m_slow_start)
        update_baseline_latency(limit, latency_us);
    return increase_limit(limit);
}

limit_change record_refusal(concurrency_limit& limit, time_point started, time_point now)
{
    return decrease_limit(limit, started, now);
}

limit_change record_failure(concurrency_limit& limit, time_point started, time_point now)
{
    return decrease_limit(limit, started, now);
}

} // namespace azureladder::core
