#include "latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace azureladder::load {

namespace {

constexpr unsigned linear_bits = 5;
constexpr std::uint64_t linear_size = std::uint64_t(1) << linear_bits;

unsigned highest_bit(std::uint64_t value)
{
    unsigned bit = 0;
    while (value >>= 1)
        ++bit;
    return bit;
}

std::size_t bucket_of(std::uint64_t value)
{
    if (value < linear_size)
        return value;
    const auto shift = highest_bit(value) - linear_bits;
    return (std::size_t(shift) + 1) * linear_size + ((value >> shift) - linear_size);
}

std::uint64_t bucket_upper_bound(std::size_t bucket)
{
    if (bucket < linear_size)
        return bucket;
    const auto shift = bucket / linear_size - 1;
    return ((bucket % linear_size + linear_size + 1) << shift) - 1;
}

} // namespace

void latency_histogram::add(duration latency)
{
    const auto bucket = bucket_of(std::uint64_t(std::max<std::int64_t>(latency.count(), 0)));
    if (bucket >= m_buckets.size())
        m_buckets.resize(bucket + 1);
    ++m_buckets[bucket];
    ++m_count;
    m_max = std::max(m_max, latency);
}

void latency_histogram::add(const latency_histogram& other)
{
    if (other.m_buckets.size() > m_buckets.size())
        m_buckets.resize(other.m_buckets.size());
    for (std::size_t i = 0; i < other.m_buckets.size(); ++i)
        m_buckets[i] += other.m_buckets[i];
    m_count += other.m_count;
    m_max = std::max(m_max, other.m_max);
}

duration latency_histogram::percentile(double share) const
{
    const auto wanted = std::uint64_t(std::ceil(share * double(m_count)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < m_buckets.size(); ++i) {
        seen += m_buckets[i];
        if (seen >= wanted && seen > 0)
            return std::min(duration(std::int64_t(bucket_upper_bound(i))), m_max);
    }
    return m_max;
}

json latency_histogram::to_json() const
{
    constexpr double p50 = 0.5;
    constexpr double p90 = 0.9;
    constexpr double p99 = 0.99;
    constexpr double p99_9 = 0.999;
    return {{"p50", percentile(p50).count()},
            {"p90", percentile(p90).count()},
            {"p99", percentile(p99).count()},
            {"p99.9", percentile(p99_9).count()},
            {"max", m_max.count()}};
}

} // namespace azureladder::load
