#pragma once

#include "schedule.hpp"

#include <azureladder/base/executed.hpp>

#include <string>

namespace azureladder::load {

/// One request of a caller. A repeat is a call of its own with the same idempotency key.
struct call
{
    planned_call m_plan;
    std::string m_request_id;
    std::string m_idempotency_key;

    /// Arrival on the clock of the process; latencies are measured from it.
    time_point m_scheduled{};

    /// Time at which the caller stops waiting for the response.
    time_point m_deadline{};
    std::uint32_t m_repeat = 0;
    std::uint32_t m_connect_attempts = 0;
};

/// Result of a call as observed by the caller.
struct call_outcome
{
    /// "ok", the error name in the response, "http_<status>", or an outcome detected by the caller:
    /// "connect_failed", "connection_lost", "truncated", "timeout", "not_sent".
    std::string m_name;
    int m_status = 0;
    executed m_executed = executed::unknown;
    std::string m_server;
    std::string m_echoed_request_id;
    std::string m_echoed_key;

    /// The response was received to its end and is well formed.
    bool m_is_complete = false;
};

} // namespace azureladder::load
