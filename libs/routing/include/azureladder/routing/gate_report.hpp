#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>

namespace azureladder::routing {

/// Load of one gate, as its node states it to the others.
struct gate_report
{
    /// Whether the gate takes new requests at all.
    bool m_open = false;

    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;

    /// Requests that may run at the same time.
    std::uint32_t m_limit = 0;

    /// Mean time of one execution.
    duration m_service_time{};

    /// Share of recent executions that failed, 0 to 1.
    double m_failure_share = 0.0;

    /// Requests a second that the backend server still bears while cold; 0 when it is not cold.
    double m_cold_rate_per_s = 0.0;
};

} // namespace azureladder::routing
