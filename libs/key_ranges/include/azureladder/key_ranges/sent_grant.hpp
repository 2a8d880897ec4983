#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/key_ranges/range_entry.hpp>

#include <cstdint>

namespace azureladder::key_ranges {

/// Lease grant that the backend server has applied or may still apply.
struct sent_grant
{
    /// Id of the grant command; 0 for the grants of a previous process.
    std::uint64_t m_command_id = 0;
    std::uint32_t m_from = 0;
    std::uint32_t m_to = max_key;
    time_point m_sent_at;

    /// Whether the backend server has confirmed that it applied the grant.
    bool m_accepted = false;

    /// Whether a release of some of the keys was sent before the grant was accepted. The acceptance
    /// then doesn't show which of the two the server applied first.
    bool m_released_before_acceptance = false;
};

} // namespace azureladder::key_ranges
