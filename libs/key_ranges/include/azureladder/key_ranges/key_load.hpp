#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace azureladder::key_ranges {

/// Exponentially decaying request counts by key.
struct key_load
{
    /// One count per key; empty before the first request.
    std::vector<float> m_counts;
};

/// Part of a range, both ends included, and the sum of its request counts.
struct key_subrange
{
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;
    double m_load = 0.0;
};

void record_key_request(key_load& load, std::uint32_t key);

/// Multiplies all counts by `factor`. Called at fixed intervals.
void decay_counts(key_load& load, float factor);

/// Sum of the counts of the keys from `from` to `to`, both included.
double load_between(const key_load& load, std::uint32_t from, std::uint32_t to);

/// Finds the narrowest subrange whose load is at least `min_load` and at most `max_load`. Narrow
/// subranges are cheap to move, since the cost of a move is its share of all keys.
std::optional<key_subrange> find_narrowest_subrange(const key_load& load, std::uint32_t from,
                                                    std::uint32_t to, double min_load,
                                                    double max_load);

/// Finds the part of the range from `from` to `to` whose load is at least `min_load` and at most
/// `max_load` and whose move adds the fewest ranges to a table: the whole range, or a part at one
/// of its ends.
std::optional<key_subrange> find_outer_subrange(const key_load& load, std::uint32_t from,
                                                std::uint32_t to, double min_load, double max_load);

} // namespace azureladder::key_ranges
