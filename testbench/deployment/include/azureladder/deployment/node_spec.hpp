#pragma once

#include <cstdint>
#include <string>

namespace azureladder::deployment {

/// One router process and the backend server beside it.
struct node_spec
{
    std::string m_node;
    std::string m_zone;
    std::string m_service;
    std::string m_server;
    std::uint32_t m_slots = 9;
    std::uint32_t m_connections = 120;
    std::string m_fencing = "checked";
    std::uint32_t m_service_time_ms = 2;

    /// Duration and bound of the cold start of the backend server.
    std::uint32_t m_cold_ms = 0;
    std::uint32_t m_cold_slots = 2;
};

} // namespace azureladder::deployment
