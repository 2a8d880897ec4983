#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/routing/routing_configuration.hpp>
#include <azureladder/sidecar/backend_announcement.hpp>
#include <azureladder/sidecar/departed_servers.hpp>
#include <azureladder/sidecar/forwarded_request.hpp>
#include <azureladder/sidecar/peer_frame.hpp>
#include <azureladder/sidecar/server_response.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace azureladder::sidecar {

/// A complete request arrived from a caller or from the local backend server.
struct caller_request
{
    /// Id assigned by the runtime, never reused.
    std::uint64_t m_caller = 0;

    /// Route, service and caller service are empty; the node sets them.
    forwarded_request m_request;

    /// Timeout that the caller sent, if any.
    std::optional<duration> m_remaining;

    /// Key of an organisation, if the caller sent one.
    std::optional<std::string> m_api_key;

    /// Headers that are forwarded only while the configuration has no organisations: those with
    /// keys, and those that name an organisation to backend servers.
    header_fields m_organisation_headers;
};

/// The caller closed its connection before the response was sent.
struct caller_disconnected
{
    std::uint64_t m_caller = 0;
};

/// A connection to or from another node was established.
struct link_opened
{
    std::uint64_t m_link = 0;

    /// Node at the other end of an outgoing connection; empty for an accepted one.
    std::string m_node;
};

struct link_closed
{
    std::uint64_t m_link = 0;
};

/// Connecting to a node failed.
struct connect_failed
{
    std::string m_node;
};

struct frame_received
{
    std::uint64_t m_link = 0;
    peer_frame m_frame;
};

/// How an execution at the backend server ended.
enum class execution_result
{
    /// The server sent a complete response to this request.
    answered,

    /// The response states that the server did not execute the request.
    rejected,

    /// No connection could be opened, so nothing was sent.
    not_sent,

    /// The request was sent, and no usable response arrived.
    unknown
};

inline constexpr enum_name<execution_result> execution_result_names[] = {
    {execution_result::answered, "answered"},
    {execution_result::rejected, "rejected"},
    {execution_result::not_sent, "not_sent"},
    {execution_result::unknown, "unknown"},
};

struct execution_ended
{
    std::uint64_t m_execution = 0;
    execution_result m_result = execution_result::unknown;
    server_response_ptr m_response;

    /// Failure cause, for logs.
    std::string m_cause;

    /// The address belongs to another server now.
    bool m_backend_replaced = false;

    /// The server reset the connection before the first byte of a response.
    bool m_is_reset = false;
};

enum class key_command_result
{
    accepted,

    /// The server did not execute the command and never will.
    refused,

    /// No byte of the command was sent.
    not_sent,
    unanswered
};

inline constexpr enum_name<key_command_result> key_command_result_names[] = {
    {key_command_result::accepted, "accepted"},
    {key_command_result::refused, "refused"},
    {key_command_result::not_sent, "not_sent"},
    {key_command_result::unanswered, "unanswered"},
};

/// A grant or release command to the backend server ended.
struct key_command_ended
{
    std::uint64_t m_command_id = 0;
    key_command_result m_result = key_command_result::unanswered;
    std::string m_handover;

    /// For logs: why no response arrived, or the HTTP status of the refusal.
    std::string m_cause;

    /// The address belongs to another server now.
    bool m_backend_replaced = false;
};

/// What a check of the backend server has shown.
enum class backend_check_result
{
    /// The server states that it is healthy and not leaving.
    in_service,

    /// It states that it is leaving or unhealthy.
    out_of_service,

    /// The response came from another server.
    replaced,

    /// The response states none of these.
    inconclusive,

    /// The server did not handle the check, as when it is full.
    rejected,

    /// No usable response arrived in time.
    unanswered,

    /// No connection could be opened.
    unreachable
};

inline constexpr enum_name<backend_check_result> backend_check_result_names[] = {
    {backend_check_result::in_service, "in_service"},
    {backend_check_result::out_of_service, "out_of_service"},
    {backend_check_result::replaced, "replaced"},
    {backend_check_result::inconclusive, "inconclusive"},
    {backend_check_result::rejected, "rejected"},
    {backend_check_result::unanswered, "unanswered"},
    {backend_check_result::unreachable, "unreachable"},
};

/// A check of the backend server ended.
struct backend_checked
{
    std::uint64_t m_check = 0;
    backend_check_result m_result = backend_check_result::unanswered;

    /// For logs: the HTTP status, or why no response arrived.
    std::string m_cause;
};

struct backend_announced
{
    backend_announcement m_announcement;

    /// Id of the message, assigned by the runtime. The node answers each with one
    /// `respond_to_backend`.
    std::uint64_t m_message = 0;
};

/// The backend server removed its registration. A draining announcement need not precede it.
struct backend_removed
{
    std::string m_id;

    /// Wall-clock time of receipt in Unix milliseconds, set by the runtime. The message does not
    /// name the incarnation that ends, but that incarnation started before this time.
    std::int64_t m_received_ms = 0;

    /// Id of the message, as in `backend_announced`.
    std::uint64_t m_message = 0;
};

/// A write of departures to the store succeeded.
struct departures_stored
{
    departed_servers m_departed;
};

/// Departures of backend servers, acknowledged by this node or its previous processes, were read
/// from the store.
struct departures_read
{
    departed_servers m_departed;
};

/// The operator's documents were read from the store. Revisions include the era.
struct operator_documents
{
    std::uint64_t m_revision = 0;

    /// Text of the configuration and revision of its store item; absent when unchanged.
    std::optional<std::string> m_configuration_text;
    std::uint64_t m_configuration_revision = 0;

    std::set<std::string> m_evacuated_zones;

    /// The watch did not report the change. Those of the peers may not have either.
    bool m_missed_by_watch = false;
};

/// A configuration was decoded from the text of a document.
struct configuration_decoded
{
    std::uint64_t m_revision = 0;
    std::string m_text;
    std::shared_ptr<const routing::routing_configuration> m_configuration;
};

/// A response of the store belongs to a newer era than all earlier ones.
struct store_era_seen
{
    std::uint64_t m_era = 0;
};

/// A read of a range table from the store ended.
struct table_read
{
    std::string m_service;
    bool m_succeeded = false;

    /// Revision with the era of the store (`store_revision`); number 0 if the table does not exist
    /// in this era.
    std::uint64_t m_revision = 0;
    std::string m_text;

    /// Newest table of a former era, if the store has one and none of this era.
    std::string m_former_text;
    time_point m_sent_at;
};

enum class write_result
{
    written,
    conflict,
    unknown
};

struct table_written
{
    std::string m_service;
    write_result m_result = write_result::unknown;

    /// Revision of the table in the store with the era, and its text after a conflict if the store
    /// returned it.
    std::uint64_t m_revision = 0;
    std::string m_text;
    time_point m_sent_at;
};

/// Nodes registered in the store, by name.
struct nodes_listed
{
    std::map<std::string, std::string> m_addresses;

    /// Departures that the other nodes have stored.
    std::map<std::string, departed_servers> m_departed_servers;
};

struct timer_tick
{
};

struct stop_requested
{
};

using event =
    std::variant<caller_request, caller_disconnected, link_opened, link_closed, connect_failed,
                 frame_received, execution_ended, key_command_ended, backend_checked,
                 backend_announced, backend_removed, departures_stored, departures_read,
                 operator_documents, configuration_decoded, store_era_seen, table_read,
                 table_written, nodes_listed, timer_tick, stop_requested>;

} // namespace azureladder::sidecar
