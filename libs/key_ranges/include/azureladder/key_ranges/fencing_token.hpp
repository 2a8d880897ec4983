#pragma once

#include <cstdint>

namespace azureladder::key_ranges {

/// Number of low bits of a fencing token that hold the connection number. 16 bits leave room for
/// 2^37 table changes below 2^53, up to which every JSON parser reads integers exactly.
inline constexpr unsigned connection_number_bits = 16;

/// Fencing token of a lease grant: the range's token from the table in the high bits, the number of
/// the connection that carries the grant in the low bits. A connection never outlives the server
/// process at its other end, so a restarted server gets higher tokens even before the restart is
/// detected.
constexpr std::uint64_t fencing_token(std::uint64_t range_token, std::uint64_t connection)
{
    constexpr std::uint64_t connection_mask = (std::uint64_t{1} << connection_number_bits) - 1;
    return (range_token << connection_number_bits) | (connection & connection_mask);
}

/// Number of times that the connection number has wrapped around. After a wraparound the ranges
/// need new fencing tokens in the table.
constexpr std::uint64_t connection_epoch(std::uint64_t connection)
{
    return connection >> connection_number_bits;
}

} // namespace azureladder::key_ranges
