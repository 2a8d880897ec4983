#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::routing {

/// A request as the gate of a backend server sees it.
struct gate_request
{
    /// Chosen by the caller of the gate, unique among its open requests.
    std::uint64_t m_id = 0;

    /// Requests of one route have similar execution times.
    std::string m_route;

    /// Rank; 0 is the most urgent.
    std::uint32_t m_priority = 0;

    /// When an answer is no longer worth its full credit.
    time_point m_target;

    /// When the caller stops waiting.
    time_point m_deadline;

    /// The caller has made an earlier attempt, from which its target counts.
    bool m_is_repeated = false;

    /// Admitted for an answer after its target, behind all of the same priority that can still
    /// meet theirs. Set by the gate.
    bool m_is_late = false;
};

} // namespace azureladder::routing
