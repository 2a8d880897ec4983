#pragma once

#include <cstdint>

namespace azureladder::key_ranges {

/// Low bits of a fencing token that number the connections of one owner. With them the tokens of
/// 2^37 table changes stay below 2^53, which every JSON reader keeps exact.
inline constexpr unsigned connection_bits = 16;

/// Token of a grant: first the table's token of the range, then the number of the connection that
/// carries the grant. A connection ends with the server at its other end, so that the next life of
/// a server takes keys with a higher token only, also before it is known.
constexpr std::uint64_t fencing_token(std::uint64_t range_token, std::uint64_t connection)
{
    constexpr std::uint64_t connection_mask = (std::uint64_t{1} << connection_bits) - 1;
    return (range_token << connection_bits) | (connection & connection_mask);
}

/// Raised when the numbers of connections start anew. Ranges need new tokens in the table then.
constexpr std::uint64_t connection_epoch(std::uint64_t connection)
{
    return connection >> connection_bits;
}

} // namespace azureladder::key_ranges
