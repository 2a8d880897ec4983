#pragma once

#include <azureladder/base/clock.hpp>
#include <azureladder/base/json.hpp>

#include <deque>
#include <mutex>
#include <random>

namespace azureladder::store_double {

/// Kind of a call, for rate limits.
enum class call_kind
{
    read,
    write,
    other
};

/// Faults and limits that the control endpoint sets. Thread safe.
class store_faults
{
public:
    store_faults(const clock& time, std::uint64_t seed) : m_clock(time), m_random(seed) {}

    /// Takes `down`, `delay_ms`, `jitter_ms`, `lose_next_write_answers`, `max_writes_per_s` and
    /// `max_reads_per_s` (0: no limit) from `settings`. False when a field has the wrong type or
    /// an unknown name; then nothing changes.
    bool apply(const json& settings);

    bool down() const;

    /// Delay of the next answer.
    milliseconds next_delay();

    /// Counts a call against its limit. False when it exceeds the limit of the last second.
    bool admit(call_kind kind);

    /// Whether the answer to a completed write must be lost.
    bool consume_lost_answer();

private:
    struct rate_window
    {
        std::uint64_t m_limit = 0;
        std::deque<time_point> m_calls;
    };

    const clock& m_clock;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    bool m_down = false;
    std::uint64_t m_delay_ms = 0;
    std::uint64_t m_jitter_ms = 0;
    std::uint64_t m_answers_to_lose = 0;
    rate_window m_reads;
    rate_window m_writes;
};

} // namespace azureladder::store_double
