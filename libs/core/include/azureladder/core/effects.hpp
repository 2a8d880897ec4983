#pragma once

#include <azureladder/base/json.hpp>
#include <azureladder/base/log_level.hpp>
#include <azureladder/core/events.hpp>

#include <string>
#include <variant>
#include <vector>

/// Outputs of the reducer, executed by the runtime in order.
namespace azureladder::core {

/// Sends a message to a node. The runtime chooses datagram or link by message type.
struct send_message
{
    member_id m_to;
    endpoint m_address;
    message m_message;
};

/// Reads a key of the platform store; answered by `store_finished`.
struct store_read
{
    operation_id m_operation = 0;
    std::string m_key;

    /// Last version that the reducer has read (0: none). The answer is `unchanged` when it is
    /// current.
    std::uint64_t m_known_version = 0;
};

/// Writes a key if its version is `m_expected_version` (0: the key does not exist).
struct store_write
{
    operation_id m_operation = 0;
    std::string m_key;
    std::string m_value;
    std::uint64_t m_expected_version = 0;
};

/// Sends a request to the local backend server; answered by `attempt_finished`.
struct dispatch_to_backend
{
    request_token m_token = 0;
    attempt_number m_attempt = 0;

    /// Slice and epoch of the key; the space is empty for services that are not divided by key.
    owned_slice m_slice;

    /// Lease end. The runtime checks directly before the write that this time has not passed.
    time_point m_send_before{};

    /// Deadline of the request, sent to the backend server.
    time_point m_deadline{};

    /// A non-idempotent request uses a fresh connection, because it must not be resent after a
    /// stale connection fails.
    bool m_idempotent = true;
};

/// Sends a request to another node; answered by `attempt_finished`.
struct forward_request
{
    request_token m_token = 0;
    attempt_number m_attempt = 0;
    member_id m_to;
    endpoint m_address;
    time_point m_deadline{};

    /// The entry node holds the claim of this request.
    bool m_claimed = false;
};

/// Cancels an attempt whose answer is no longer needed.
struct cancel_attempt
{
    request_token m_token = 0;
    attempt_number m_attempt = 0;
};

/// Answers a request with the reply of one of its attempts.
struct answer_with_reply
{
    request_token m_token = 0;
    attempt_number m_attempt = 0;
};

/// Answers a request with a reply that was kept with its claim.
struct answer_with_replay
{
    request_token m_token = 0;
    int m_status = 0;
    std::string m_content_type;
    std::string m_body;
};

/// Answers a request with an error and with whether the request was executed.
struct answer_with_error
{
    request_token m_token = 0;
    error_code m_code = error_code::bad_request;
    std::string m_message;
    executed m_executed = executed::no;
    duration m_retry_after{0};
};

/// Extends the lease at a backend server that checks fencing tokens.
struct extend_backend_lease
{
    time_point m_valid_until{};
};

/// Sends a backend server that checks fencing tokens the epoch of a slice, or revokes its grant.
struct set_backend_grant
{
    owned_slice m_slice;
    bool m_revoked = false;
};

/// Writes one log line. docs/operators.md lists the events.
struct write_log
{
    log_level m_level = log_level::info;
    std::string m_event;

    /// Object with the fields of the event.
    json m_fields = json::object();
};

/// Records a finished request in the metrics.
struct record_request
{
    std::string m_service;
    std::string m_customer;
    request_class m_class = request_class::standard;

    /// "ok" or the name of the error code.
    std::string m_outcome;
    duration m_latency{0};
};

/// Reports that all requests have ended and all slices are released, or that the stop timed out.
/// The process may exit.
struct finish_stop
{
};

using effect =
    std::variant<send_message, store_read, store_write, dispatch_to_backend, forward_request,
                 cancel_attempt, answer_with_reply, answer_with_replay, answer_with_error,
                 extend_backend_lease, set_backend_grant, write_log, record_request, finish_stop>;

using effects = std::vector<effect>;

} // namespace azureladder::core
