#pragma once

#include <azureladder/base/enum_names.hpp>

#include <cstdint>
#include <string>

namespace azureladder::key_ranges {

/// Largest key; keys are integers from 0 to this value.
inline constexpr std::uint32_t max_key = 65535;

enum class range_state
{
    /// The owner may grant leases on the range to its backend server.
    active,

    /// The owner has to wait until the leases of the previous owner have expired.
    taking_over
};

inline constexpr enum_name<range_state> range_state_names[] = {
    {range_state::active, "settled"},
    {range_state::taking_over, "claimed"},
};

/// Range of keys from `m_from` to `m_to`, both included, with one owner.
struct range_entry
{
    std::uint32_t m_from = 0;
    std::uint32_t m_to = max_key;

    /// Node that may grant leases on the range.
    std::string m_owner;

    /// Incarnation of the owner's backend server and process to which the fencing token belongs;
    /// empty until the owner has taken a token.
    std::string m_server_incarnation;

    /// Fencing token, increased at each change of owner or incarnation.
    std::uint64_t m_fencing_token = 0;

    range_state m_state = range_state::active;

    /// During a takeover, the node whose backend server may still hold a lease on the range.
    std::string m_previous_owner;

    /// Handover token from the release by the previous lease holder, sent along with the next
    /// grant; empty if there is none.
    std::string m_handover;

    /// Era of the store in which the owner was confirmed. Leases are granted only on ranges that
    /// are confirmed in the era of the table.
    std::uint64_t m_era = 0;
};

bool operator==(const range_entry& a, const range_entry& b);

} // namespace azureladder::key_ranges
