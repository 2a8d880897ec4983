#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/enum_names.hpp>

#include <cstdint>
#include <string>

namespace azureladder::core {

/// Whether a backend server checks fencing tokens.
enum class fencing
{
    checked,
    ignored
};

inline constexpr enum_name<fencing> fencing_names[] = {
    {fencing::checked, "checked"},
    {fencing::ignored, "ignored"},
};

/// Announcement of the local backend server, repeated each second.
struct backend_info
{
    std::string m_server;
    std::string m_service;
    std::string m_zone;
    endpoint m_address;

    /// Id of the backend server process; changes with each restart.
    std::string m_start_id;

    /// Requests that the backend server executes at once.
    std::uint32_t m_slots = 1;

    /// Connections that the backend server accepts.
    std::uint32_t m_connections = 1;
    fencing m_fencing = fencing::ignored;
    bool m_cold = false;
    bool m_draining = false;

    /// Self-reported load between 0 and 1. Only the least-reported-load policy selects by it.
    double m_load = 0.0;
};

} // namespace azureladder::core
