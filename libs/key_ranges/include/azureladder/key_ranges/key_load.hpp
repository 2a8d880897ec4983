#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace azureladder::key_ranges {

/// Requests by key, recent ones count most.
struct key_load
{
    std::vector<float> m_counts;
};

/// A part of one range and its share of the counted requests.
struct range_part
{
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;
    double m_load = 0.0;
};

void record_key(key_load& load, std::uint32_t key);

/// Multiplies all counts; called at fixed intervals.
void decay(key_load& load, float factor);

double load_of(const key_load& load, std::uint32_t from, std::uint32_t to);

/// The narrowest part of a range whose load is at least `wanted` and at most `most`. Narrow parts
/// are cheap to move, since a move is priced by its share of all keys.
std::optional<range_part> narrowest_part(const key_load& load, std::uint32_t from, std::uint32_t to,
                                         double wanted, double most);

} // namespace azureladder::key_ranges
