#pragma once

#include <azureladder/base/enum_names.hpp>

#include <cstdint>
#include <string>

namespace azureladder::key_ranges {

/// Keys are numbers from 0 to this one.
inline constexpr std::uint32_t max_key = 65535;

enum class range_state
{
    /// The owner may grant the range to its backend server.
    settled,

    /// The owner waits until the hold of the former owner has ended.
    claimed
};

inline constexpr enum_name<range_state> range_state_names[] = {
    {range_state::settled, "settled"},
    {range_state::claimed, "claimed"},
};

/// Keys `m_from` to `m_to`, both included, with one owner.
struct range_entry
{
    std::uint32_t m_from = 0;
    std::uint32_t m_to = max_key;

    /// Node that may grant the range.
    std::string m_owner;

    /// Life of the owner's backend server and process for which the fencing token was taken; empty
    /// until the owner has taken one.
    std::string m_life;

    /// Raised at each change of owner or life.
    std::uint64_t m_fence = 0;

    range_state m_state = range_state::settled;

    /// While claimed: the node whose backend server may still hold the range.
    std::string m_former_owner;

    /// Proof of the former holder's release, passed on with the next grant; may be empty.
    std::string m_handover;
};

bool operator==(const range_entry& a, const range_entry& b);

} // namespace azureladder::key_ranges
