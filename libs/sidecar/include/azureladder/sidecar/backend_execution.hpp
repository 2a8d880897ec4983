#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/sidecar/peer_frame.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace azureladder::sidecar {

/// Where the body of a request is.
enum class body_place
{
    /// In the request itself.
    in_request,

    /// At the ingress, and not requested.
    at_ingress,

    /// On its way after it was requested.
    in_transfer,

    /// At this node, until the execution has ended.
    here,

    /// Not needed any more.
    released
};

/// A request that is queued for or executed by the local backend server.
struct backend_execution
{
    std::uint64_t m_id = 0;

    /// Connection, node and frame id that the response goes to.
    std::uint64_t m_link = 0;
    std::string m_origin;
    std::uint64_t m_origin_incarnation = 0;
    std::uint64_t m_frame = 0;

    forwarded_request_ptr m_request;
    /// Body that travels apart from the request: its place, its length, the time of the latest
    /// request for it, and the body itself from its arrival to the start of the execution.
    body_place m_body_place = body_place::in_request;
    std::size_t m_body_bytes = 0;
    time_point m_body_requested_at;
    std::shared_ptr<const std::string> m_body;

    time_point m_deadline;

    /// The request was sent to the backend server. A request that holds a slot while its body is in
    /// transfer has not started.
    bool m_started = false;
    time_point m_started_at;

    /// Time of arrival, and time that was left to the target then.
    time_point m_arrived_at;
    duration m_time_to_target{};

    /// The caller has made an earlier attempt at the request.
    bool m_is_retry = false;

    /// Time of loss of the connection to the origin; unset while it is up.
    time_point m_link_lost_at;

    /// Result frame, once the execution has ended. Retained for a while, because the connection
    /// that carries it may fail before the origin has received it.
    std::optional<peer_frame> m_result;

    /// Memory of the response in it.
    std::size_t m_result_bytes = 0;
    time_point m_finished_at;
};

} // namespace azureladder::sidecar
