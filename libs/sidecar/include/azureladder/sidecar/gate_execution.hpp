#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/sidecar/peer_frame.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace azureladder::sidecar {

/// A request at the gate of this node's backend server.
struct gate_execution
{
    std::uint64_t m_id = 0;

    /// Where the answer goes.
    std::uint64_t m_link = 0;
    std::string m_origin;
    std::uint64_t m_frame = 0;

    forwarded_request_ptr m_request;
    time_point m_deadline;
    bool m_started = false;
    time_point m_started_at;

    /// The connection to the origin is lost; since when.
    time_point m_link_lost_at;

    /// The answer, once it is ready. Kept for a while, since a connection may break with it.
    std::optional<peer_frame> m_result;
    time_point m_finished_at;
};

} // namespace azureladder::sidecar
