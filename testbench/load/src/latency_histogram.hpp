#pragma once

#include <azureladder/base/json.hpp>
#include <azureladder/base/time.hpp>

#include <cstdint>
#include <vector>

namespace azureladder::load {

/// Counts of latencies in buckets that are linear within each power of two. A percentile is at
/// most 1/32 above the true value.
class latency_histogram
{
public:
    void add(duration latency);
    void add(const latency_histogram& other);

    std::uint64_t count() const { return m_count; }
    duration max() const { return m_max; }

    /// Upper end of the bucket that holds the given share of the values, at most the maximum.
    duration percentile(double share) const;

    /// p50, p90, p99, p99.9 and max in microseconds.
    json to_json() const;

private:
    std::vector<std::uint64_t> m_buckets;
    std::uint64_t m_count = 0;
    duration m_max{0};
};

} // namespace azureladder::load
