#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::sidecar {

/// Message of a backend server about its departure that has no response yet.
struct pending_acknowledgement
{
    /// Id of the message.
    std::uint64_t m_message = 0;
    std::string m_backend_id;

    /// Start of the incarnation that leaves, in Unix milliseconds.
    std::int64_t m_started_at_ms = 0;
    time_point m_received_at;
};

} // namespace azureladder::sidecar
