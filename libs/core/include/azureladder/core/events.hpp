#pragma once

#include <azureladder/base/executed.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/core/backend_info.hpp>
#include <azureladder/core/error_code.hpp>
#include <azureladder/core/messages.hpp>
#include <azureladder/core/request_info.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// Inputs of the reducer. They contain plain data and refer to no socket, thread or clock.
namespace azureladder::core {

/// Periodic timer event. The runtime sends it at the time that `next_tick` returns.
struct timer_tick
{
};

/// A decoded message from another node.
struct message_received
{
    member_id m_from;

    /// Address of the sender's peer listener from the message envelope; empty when the envelope has
    /// none.
    endpoint m_reply_to;
    message m_message;
};

using operation_id = std::uint64_t;

enum class store_status
{
    ok,
    unchanged,   // read: the key still has the known version
    not_found,   // read: the key does not exist
    conflict,    // write: the version differs; m_version holds the current one
    unavailable, // the call had no effect
    unknown,     // write: it may have taken effect
};

/// Answer to `store_read` or `store_write`.
struct store_finished
{
    operation_id m_operation = 0;
    store_status m_status = store_status::unavailable;
    std::string m_value;
    std::uint64_t m_version = 0;
};

/// Announcement of the local backend server; repeated each second.
struct backend_announced
{
    backend_info m_info;
};

/// A request arrived from a caller or was forwarded by a peer.
struct request_arrived
{
    request_token m_token = 0;
    request_info m_info;
};

/// The caller or the entry node stopped waiting for the answer.
struct request_abandoned
{
    request_token m_token = 0;
};

enum class attempt_outcome
{
    answered,    // a whole reply was received
    refused,     // the receiver proved that it did not execute the request
    not_sent,    // nothing was written
    lost,        // written, no whole reply received
    lease_ended, // the lease check directly before the write failed; nothing was written
};

inline constexpr enum_name<attempt_outcome> attempt_outcome_names[] = {
    {attempt_outcome::answered, "answered"},       {attempt_outcome::refused, "refused"},
    {attempt_outcome::not_sent, "not_sent"},       {attempt_outcome::lost, "lost"},
    {attempt_outcome::lease_ended, "lease_ended"},
};

/// End of one attempt: of `dispatch_to_backend` or of `forward_request`.
struct attempt_finished
{
    request_token m_token = 0;
    attempt_number m_attempt = 0;
    attempt_outcome m_outcome = attempt_outcome::lost;
    int m_status = 0;

    /// For forwarded requests: error code and execution state that the peer reported.
    std::optional<error_code> m_peer_error;
    executed m_executed = executed::unknown;

    /// Reply data for the claim; set only for non-idempotent requests with small replies.
    bool m_has_reply = false;
    std::string m_content_type;
    std::string m_body;

    /// Load that the answering backend server reported; negative when it reported none.
    double m_reported_load = -1.0;

    /// Whether the reply of the local backend server reports a cold start.
    bool m_backend_cold = false;
};

/// An operator requests to add or replace records.
struct change_requested
{
    std::string m_apply_id;

    /// Array of records.
    json m_records;

    /// Revision on which the change is based; zero accepts any.
    revision_number m_base_revision = 0;
};

/// The process received a stop request (SIGTERM).
struct stop_requested
{
};

using event =
    std::variant<timer_tick, message_received, store_finished, backend_announced, request_arrived,
                 request_abandoned, attempt_finished, change_requested, stop_requested>;

} // namespace azureladder::core
