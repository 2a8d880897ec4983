#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::sidecar {

/// What a backend server states about itself.
struct backend_announcement
{
    std::string m_id;

    /// Time of its start, as the server states it; tells two lives under one id apart.
    std::int64_t m_born_ms = 0;

    /// Raised with each announcement of one life.
    std::int64_t m_sequence = 0;

    std::string m_address;
    std::string m_service;
    std::string m_zone;
    std::uint32_t m_slots = 0;
    bool m_draining = false;

    /// How long the server stays cold.
    duration m_cold_time_left{};
};

} // namespace azureladder::sidecar
