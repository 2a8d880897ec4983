#pragma once

#include <azureladder/base/executed.hpp>
#include <azureladder/base/ids.hpp>
#include <azureladder/base/request_class.hpp>
#include <azureladder/core/error_code.hpp>
#include <azureladder/core/request_info.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Frames that carry a caller's request to another node and its reply back. The runtime translates
/// them into events of the reducer.
namespace azureladder::wire {

/// Identifies a forwarded request. Never reused: a restarted entry node has a new incarnation.
struct correlation
{
    incarnation_id m_incarnation = 0;
    std::uint64_t m_counter = 0;
};

inline bool operator==(const correlation& a, const correlation& b)
{
    return a.m_incarnation == b.m_incarnation && a.m_counter == b.m_counter;
}

inline bool operator!=(const correlation& a, const correlation& b)
{
    return !(a == b);
}

/// Name and value of an HTTP header.
using header = std::pair<std::string, std::string>;

/// Request of a caller, forwarded by its entry node.
struct request_frame
{
    correlation m_correlation;
    core::attempt_number m_attempt = 0;
    std::string m_method;

    /// Path with query, as the backend server receives it.
    std::string m_target;
    std::vector<header> m_headers;
    std::string m_body;

    std::string m_request_id;
    std::string m_service;
    std::string m_customer;
    request_class m_class = request_class::standard;
    std::string m_key;
    std::string m_idempotency_key;
    bool m_idempotent = true;

    /// Whether the entry node holds the claim; the receiver then requests none.
    bool m_claimed = false;

    /// Time until the deadline at the entry node when the frame was encoded, in milliseconds.
    std::uint32_t m_remaining_ms = 0;
};

/// Response of the backend server.
struct reply_content
{
    int m_status = 0;
    std::vector<header> m_headers;

    /// Length of the body at the sender, in bytes. A frame whose body has another length is
    /// rejected.
    std::uint64_t m_body_length = 0;
    std::string m_body;
};

/// Error of the node that received the request.
struct reply_error
{
    core::error_code m_code = core::error_code::bad_request;
    std::string m_message;
};

/// Answer to a request frame.
struct reply_frame
{
    correlation m_correlation;
    core::attempt_number m_attempt = 0;
    executed m_executed = executed::unknown;
    std::variant<reply_content, reply_error> m_result;

    /// Self-reported load of the backend server, at most 1; negative when unknown.
    double m_reported_load = -1.0;
};

/// Reports that the entry node no longer waits for the reply.
struct cancel_frame
{
    correlation m_correlation;
};

} // namespace azureladder::wire
