#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/key_ranges/range_entry.hpp>

#include <cstdint>

namespace azureladder::key_ranges {

/// A grant whose keys a backend server holds, or may come to hold when it is carried out late.
struct sent_grant
{
    std::uint64_t m_order = 0;
    std::uint32_t m_from = 0;
    std::uint32_t m_to = max_key;
    time_point m_sent_at;

    /// The backend server has answered that it carried the grant out.
    bool m_accepted = false;

    /// A release of some of the keys was sent before the answer. It does not show which of the two
    /// was carried out first.
    bool m_overtaken = false;
};

} // namespace azureladder::key_ranges
