#pragma once

#include <cstdint>

namespace azureladder::key_ranges {

/// Number of low bits of a store revision that hold the revision number within an era. They leave
/// room for 2^24 eras.
inline constexpr unsigned revision_number_bits = 40;

/// Revision of an item with the era of the store. A store that returns to an earlier state assigns
/// revision numbers again, in the next era, so numbers alone do not tell which of two states is
/// newer. Store revisions compare like the history of the store.
constexpr std::uint64_t store_revision(std::uint64_t era, std::uint64_t number)
{
    constexpr std::uint64_t number_mask = (std::uint64_t{1} << revision_number_bits) - 1;
    return (era << revision_number_bits) | (number & number_mask);
}

constexpr std::uint64_t era_of(std::uint64_t revision)
{
    return revision >> revision_number_bits;
}

/// Revision number within the era, as the store knows it.
constexpr std::uint64_t number_of(std::uint64_t revision)
{
    constexpr std::uint64_t number_mask = (std::uint64_t{1} << revision_number_bits) - 1;
    return revision & number_mask;
}

} // namespace azureladder::key_ranges
