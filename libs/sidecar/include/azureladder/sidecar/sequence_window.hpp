#pragma once

#include <cstdint>

namespace azureladder::sidecar {

/// Sequence numbers that were received: a sliding window below the highest one (RFC 4303, 3.4.3).
struct sequence_window
{
    std::int64_t m_highest = 0;

    /// Bit i is set if `m_highest` - i was received, or is below the first number, 1.
    std::uint64_t m_received = ~std::uint64_t{0};
};

/// Adds a received number. Repeated ones and those below the window change nothing.
void record_sequence(sequence_window& window, std::int64_t sequence);

/// Whether all numbers of the window were received.
bool is_complete(const sequence_window& window);

} // namespace azureladder::sidecar
