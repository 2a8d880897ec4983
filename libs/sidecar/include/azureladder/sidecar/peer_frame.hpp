#pragma once

#include <azureladder/base/enum_names.hpp>
#include <azureladder/key_ranges/owner_load.hpp>
#include <azureladder/routing/load_report.hpp>
#include <azureladder/routing/nested_calls.hpp>
#include <azureladder/routing/quota.hpp>
#include <azureladder/sidecar/departed_servers.hpp>
#include <azureladder/sidecar/forwarded_request.hpp>
#include <azureladder/sidecar/server_response.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace azureladder::sidecar {

/// Revisions of the shared documents that a node has, by document name.
using document_revisions = std::map<std::string, std::uint64_t>;

/// Handshake: the first frame in each direction of a connection.
struct hello_frame
{
    std::string m_node;
    std::uint64_t m_incarnation = 0;
    std::string m_address;
    std::string m_zone;

    /// Nodes that the sender discovered recently: addresses by name.
    std::map<std::string, std::string> m_known_nodes;

    /// Departures that the receiver, or a previous process of it, has reported to the sender.
    departed_servers m_departed_servers;
};

/// State of a node's backend server.
struct node_status
{
    std::string m_service;

    /// Identifier of the backend server's incarnation; empty without a server.
    std::string m_server_incarnation;

    routing::load_report m_report;

    /// The node is stopping.
    bool m_leaving = false;

    /// Utilization of the backend server by requests for its key ranges; 1 is its full capacity.
    double m_key_utilization = 0.0;
    bool m_owns_keys = false;

    /// Departures that the node has acknowledged. Peers store them for its next process, which
    /// cannot read them while the store is unavailable.
    departed_servers m_departed_servers;

    /// Calls that the backend server makes per execution, by called service.
    routing::calls_by_service m_calls_per_execution;

    /// Routes (`route_hash`) of the backend server that only calls of other servers use.
    std::vector<std::uint32_t> m_called_routes;

    /// Means over several seconds of the requests for the node's key ranges.
    key_ranges::owner_report m_owner_report;

    /// Bandwidth of the VM's link in Mbit/s; 0 if unknown.
    double m_link_mbps = 0.0;

    /// The node has run long enough to count the requests of organisations. Others count only while
    /// no such node is reachable.
    bool m_counts_quotas = false;
};

struct ping_frame
{
    std::uint64_t m_sequence = 0;

    /// Time of sending by the sender's clock in microseconds; 0 if unknown.
    std::int64_t m_sent_us = 0;
};

/// Response to a ping, or an unsolicited report of a change (sequence 0).
struct status_frame
{
    std::uint64_t m_sequence = 0;
    node_status m_status;
    document_revisions m_documents;

    /// Age in microseconds of the newest confirmation of each range table, by document name.
    std::map<std::string, std::int64_t> m_confirmation_age_us;

    /// Newest era of the store that the sender knows.
    std::uint64_t m_store_era = 0;
};

struct request_frame
{
    std::uint64_t m_id = 0;
    forwarded_request_ptr m_request;

    /// Time left until the caller's deadline and until the target latency, in microseconds. The
    /// target latency counts from the caller's first attempt and may have passed (negative).
    std::int64_t m_remaining_us = 0;
    std::int64_t m_target_us = 0;

    /// The caller has made an earlier attempt at this request.
    bool m_is_retry = false;

    /// Time of sending by the sender's clock in microseconds; 0 if unknown.
    std::int64_t m_sent_us = 0;

    /// Whether the gate may queue the request although it will miss its target. False while the
    /// ingress can try another gate, which may be in time.
    bool m_accepts_late = true;

    /// Length of the body if it is not part of `m_request`: the receiver requests it when it needs
    /// it, and does not execute the request before it has arrived. 0 otherwise.
    std::uint64_t m_body_bytes = 0;
};

struct cancel_frame
{
    std::uint64_t m_id = 0;
};

/// Requests the result of a request that was sent over an earlier connection.
struct resume_frame
{
    std::uint64_t m_id = 0;
};

/// Response of the backend server.
struct response_frame
{
    std::uint64_t m_id = 0;
    server_response_ptr m_response;
    routing::load_report m_report;
};

enum class refusal_reason
{
    no_server,
    closed,
    overloaded,
    not_owner,
    rejected_by_server,
    unknown_request,
    cancelled,
    arrived_late,
    origin_silent,
    body_mismatch
};

inline constexpr enum_name<refusal_reason> refusal_reason_names[] = {
    {refusal_reason::no_server, "no_server"},
    {refusal_reason::closed, "closed"},
    {refusal_reason::overloaded, "overloaded"},
    {refusal_reason::not_owner, "not_owner"},
    {refusal_reason::rejected_by_server, "rejected_by_server"},
    {refusal_reason::unknown_request, "unknown_request"},
    {refusal_reason::cancelled, "cancelled"},
    {refusal_reason::arrived_late, "arrived_late"},
    {refusal_reason::origin_silent, "origin_silent"},
    {refusal_reason::body_mismatch, "body_mismatch"},
};

/// Current owner of a key range, in case the table of the receiver is older.
struct owner_hint
{
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;
    std::string m_owner;
    std::uint64_t m_fencing_token = 0;
};

/// The request was not executed and never will be.
struct refusal_frame
{
    std::uint64_t m_id = 0;
    refusal_reason m_reason = refusal_reason::no_server;
    std::int64_t m_retry_after_us = 0;
    routing::load_report m_report;

    /// Set when the key of the request has another owner.
    std::optional<owner_hint> m_owner;
};

/// The request was sent to the backend server, and no usable response arrived.
struct failure_frame
{
    std::uint64_t m_id = 0;
    std::string m_cause;
    routing::load_report m_report;
};

struct document_request_frame
{
    std::string m_name;

    /// Revision that the sender has, 0 for none. The receiver may respond with the changes since.
    std::uint64_t m_known_revision = 0;
};

struct document_frame
{
    std::string m_name;
    std::uint64_t m_revision = 0;
    std::string m_text;

    /// Age in microseconds of the sender's newest confirmation that the store has this revision;
    /// negative without a confirmation.
    std::int64_t m_confirmation_age_us = -1;

    /// Not 0 if the text contains only what has changed since this revision, for a receiver that
    /// has this revision or a later one.
    std::uint64_t m_base_revision = 0;
};

/// Keys that a node has released, and the node that is to own them.
struct released_keys
{
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;

    /// Fencing token of the range. The release concerns no later token.
    std::uint64_t m_fencing_token = 0;
    std::string m_target;
    std::string m_handover;
};

/// Asks the owner that confirms the table to write transfers of keys that the sender has released.
/// One writer for all owners gathers changes and avoids conflicts of their writes.
struct released_keys_frame
{
    std::string m_service;
    std::vector<released_keys> m_released;
};

/// Requests the body of a request that was sent without it.
struct body_request_frame
{
    std::uint64_t m_id = 0;
};

struct body_frame
{
    std::uint64_t m_id = 0;
    std::shared_ptr<const std::string> m_body;
};

/// Asks the node that counts the requests of an organisation for a token of its quota.
struct quota_request_frame
{
    /// Id of the request at the sender.
    std::uint64_t m_id = 0;
    std::string m_organisation;

    /// Limit in the sender's configuration, used if the receiver does not know the organisation.
    routing::quota_limit m_limit;
};

enum class quota_answer
{
    granted,

    /// The request is beyond the quota.
    refused,

    /// The receiver reaches another node that counts for the organisation.
    not_counting
};

inline constexpr enum_name<quota_answer> quota_answer_names[] = {
    {quota_answer::granted, "granted"},
    {quota_answer::refused, "refused"},
    {quota_answer::not_counting, "not_counting"},
};

struct quota_answer_frame
{
    std::uint64_t m_id = 0;
    std::string m_organisation;
    quota_answer m_answer = quota_answer::not_counting;

    /// Time of the grant by the clock of the counting node in microseconds.
    std::int64_t m_granted_us = 0;

    /// Time after which a refused request may be granted a token.
    std::int64_t m_retry_after_us = 0;
};

/// Returns the token of a request that no backend server has executed or will execute.
struct quota_return_frame
{
    std::string m_organisation;

    /// Time of the grant, as the counting node has stated it.
    std::int64_t m_granted_us = 0;
};

using peer_frame =
    std::variant<hello_frame, ping_frame, status_frame, request_frame, cancel_frame, resume_frame,
                 response_frame, refusal_frame, failure_frame, document_request_frame,
                 document_frame, released_keys_frame, body_request_frame, body_frame,
                 quota_request_frame, quota_answer_frame, quota_return_frame>;

/// Names of the frame kinds in the order of the variant, for logs and metrics.
inline constexpr std::string_view frame_kind_names[] = {
    "hello",        "ping",    "status",        "request",          "cancel",      "resume",
    "response",     "refusal", "failure",       "document_request", "document",    "released_keys",
    "body_request", "body",    "quota_request", "quota_answer",     "quota_return"};

inline constexpr std::size_t frame_kind_count = std::variant_size_v<peer_frame>;
static_assert(std::size(frame_kind_names) == frame_kind_count);

} // namespace azureladder::sidecar
