#pragma once

#include <cstdint>

namespace azureladder::core {

/// Deterministic random generator (splitmix64): the same seed repeats the same run.
struct random_source
{
    std::uint64_t m_state = 1;
};

inline std::uint64_t random_value(random_source& source)
{
    source.m_state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t value = source.m_state;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

/// Uniform in [0, bound); `bound` must not be zero.
inline std::uint64_t random_below(random_source& source, std::uint64_t bound)
{
    return random_value(source) % bound;
}

} // namespace azureladder::core
