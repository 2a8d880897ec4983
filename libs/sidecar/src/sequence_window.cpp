#include <azureladder/sidecar/sequence_window.hpp>

#include <limits>

namespace azureladder::sidecar {

namespace {

constexpr std::uint64_t window_bits = std::numeric_limits<std::uint64_t>::digits;

} // namespace

void record_sequence(sequence_window& window, std::int64_t sequence)
{
    // Unsigned, because the numbers come from outside and their difference may not fit.
    const auto number = static_cast<std::uint64_t>(sequence);
    const auto highest = static_cast<std::uint64_t>(window.m_highest);
    if (sequence > window.m_highest) {
        const std::uint64_t shift = number - highest;
        window.m_received = shift < window_bits ? window.m_received << shift : 0;
        window.m_received |= 1U;
        window.m_highest = sequence;
    } else if (highest - number < window_bits) {
        window.m_received |= std::uint64_t{1} << (highest - number);
    }
}

bool is_complete(const sequence_window& window)
{
    return window.m_received == ~std::uint64_t{0};
}

} // namespace azureladder::sidecar
