#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::sidecar {

/// Announcement that a backend server sends about itself.
struct backend_announcement
{
    std::string m_id;

    /// Start of the server process in Unix milliseconds, as the server reports it. Distinguishes
    /// incarnations (successive runs) of a server under one id.
    std::int64_t m_started_at_ms = 0;

    /// Increases with each announcement of one incarnation.
    std::int64_t m_sequence = 0;

    std::string m_address;
    std::string m_service;
    std::string m_zone;
    std::uint32_t m_slots = 0;
    bool m_draining = false;

    /// Remaining time of the server's cold start.
    duration m_cold_time_left{};
};

} // namespace azureladder::sidecar
