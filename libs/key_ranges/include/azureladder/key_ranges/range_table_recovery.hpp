#pragma once

#include <azureladder/key_ranges/range_table.hpp>

#include <cstdint>
#include <vector>

namespace azureladder::key_ranges {

// A store that returns to an earlier state may have lost changes of a range table that owners act
// on. In the new era an owner claims the ranges that it is entitled to at that moment. Other ranges
// stay unconfirmed: their owner by the table waits until every lease of the former era has expired.

/// Keys that their owner is entitled to by the table of the former era, both ends included.
struct range_claim
{
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;
};

/// Lowest fencing token that is assigned in an era. Tokens of former eras are lower, also those
/// that the store has lost. Leaves 2^28 changes for an era, and 2^9 eras below the limit of range
/// tokens (`fencing_token`).
constexpr std::uint64_t first_fencing_token(std::uint64_t era)
{
    return era << 28;
}

/// Table with which `self` continues in `era`: `stored`, with the newer assignments of `known` that
/// it does not have, and with the claimed ranges as confirmed ranges of `self`. Ranges that are
/// confirmed in `stored` remain as they are.
range_table recover_table(const range_table& stored, const range_table& known,
                          const range_owner& self, const std::vector<range_claim>& claims,
                          std::uint64_t era);

/// Confirms the active ranges of `owner` that are bound to its incarnation, with new fencing
/// tokens. To be called once no lease of a former era can exist any more.
void confirm_ranges(range_table& table, const range_owner& owner, std::uint64_t era);

} // namespace azureladder::key_ranges
