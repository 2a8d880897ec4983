#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::sidecar {

/// The connection that carries the grants to the backend server beside this node, one at a time.
struct order_connection
{
    /// Never used for a second connection by one process.
    std::uint64_t m_number = 1;

    /// Address of the server at its other end; empty before the first grant.
    std::string m_address;

    /// The server has answered on it.
    bool m_is_proven = false;

    /// Grant under way; 0 while there is none.
    std::uint64_t m_order = 0;
    time_point m_order_sent;

    /// Earliest time of the next grant, after a connection has failed.
    time_point m_next_order;
};

} // namespace azureladder::sidecar
