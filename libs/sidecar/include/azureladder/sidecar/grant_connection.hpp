#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::sidecar {

/// Connection that carries the grants to the local backend server, one at a time.
struct grant_connection
{
    /// Unique among the connections of one process.
    std::uint64_t m_number = 1;

    /// Server address; empty before the first grant.
    std::string m_address;

    /// The server has responded on this connection.
    bool m_has_responded = false;

    /// Grant in flight; 0 while there is none.
    std::uint64_t m_command_id = 0;
    time_point m_command_sent_at;

    /// Earliest time of the next grant after a failed connection.
    time_point m_next_attempt_at;
};

} // namespace azureladder::sidecar
