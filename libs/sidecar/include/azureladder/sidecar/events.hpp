#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/routing/routing_configuration.hpp>
#include <azureladder/sidecar/backend_announcement.hpp>
#include <azureladder/sidecar/departed_lives.hpp>
#include <azureladder/sidecar/forwarded_request.hpp>
#include <azureladder/sidecar/peer_frame.hpp>
#include <azureladder/sidecar/server_answer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace azureladder::sidecar {

/// A whole request arrived from a caller or from the backend server beside this node.
struct caller_request
{
    /// Chosen by the runtime, never reused.
    std::uint64_t m_caller = 0;

    /// Without route, service and caller service, which the node fills in.
    forwarded_request m_request;

    /// What the caller says it will wait; absent when it does not say.
    std::optional<duration> m_remaining;
};

/// The caller closed its connection before its answer.
struct caller_left
{
    std::uint64_t m_caller = 0;
};

/// A connection to or from another node is established.
struct link_opened
{
    std::uint64_t m_link = 0;

    /// Node that this node connected to; empty for an accepted connection.
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
    /// A complete answer to this request.
    answered,

    /// The backend server states that it did not run the request.
    rejected,

    /// Nothing was sent: no connection could be opened.
    not_sent,

    /// Sent, without a usable answer.
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
    server_answer_ptr m_answer;

    /// For logs.
    std::string m_cause;

    /// The address belongs to another server now.
    bool m_other_server = false;
};

enum class order_result
{
    accepted,

    /// The server did not and will not carry the order out.
    refused,

    /// No byte of the order was sent.
    not_sent,
    unanswered
};

inline constexpr enum_name<order_result> order_result_names[] = {
    {order_result::accepted, "accepted"},
    {order_result::refused, "refused"},
    {order_result::not_sent, "not_sent"},
    {order_result::unanswered, "unanswered"},
};

/// End of a grant or release at the backend server.
struct order_ended
{
    std::uint64_t m_order = 0;
    order_result m_result = order_result::unanswered;
    std::string m_handover;

    /// For logs: why there is no answer, or the status that refused the order.
    std::string m_cause;

    /// The address belongs to another server now.
    bool m_other_server = false;
};

struct backend_announced
{
    backend_announcement m_announcement;
};

/// The backend server takes itself off the list, with or without having announced it before.
struct backend_removed
{
    std::string m_id;

    /// Time of day at its arrival in Unix milliseconds, set by the runtime. The message does not
    /// say which life ends; it is one that started before.
    std::int64_t m_received_ms = 0;
};

/// The departures of backend servers that this node or its former processes acknowledged, as read
/// from the store.
struct departures_read
{
    departed_lives m_lives;
};

/// The operator's documents as read from the store.
struct operator_documents
{
    std::uint64_t m_revision = 0;

    /// Text of the configuration with the revision of its item; absent when it is unchanged.
    std::optional<std::string> m_configuration_text;
    std::uint64_t m_configuration_revision = 0;

    std::set<std::string> m_evacuated_zones;
};

/// A configuration was decoded from the text of a document.
struct configuration_decoded
{
    std::uint64_t m_revision = 0;
    std::string m_text;
    std::shared_ptr<const routing::routing_configuration> m_configuration;
};

/// A range table was read from the store. Revision 0: it does not exist.
struct table_read
{
    std::string m_service;
    bool m_succeeded = false;
    std::uint64_t m_revision = 0;
    std::string m_text;
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

    /// Revision of the table in the store, and after a conflict its text, if the answer has it.
    std::uint64_t m_revision = 0;
    std::string m_text;
    time_point m_sent_at;
};

/// Names and addresses of the nodes that have a record in the store.
struct nodes_listed
{
    std::map<std::string, std::string> m_addresses;
};

struct timer_tick
{
};

struct stop_requested
{
};

using event =
    std::variant<caller_request, caller_left, link_opened, link_closed, connect_failed,
                 frame_received, execution_ended, order_ended, backend_announced, backend_removed,
                 departures_read, operator_documents, configuration_decoded, table_read,
                 table_written, nodes_listed, timer_tick, stop_requested>;

} // namespace azureladder::sidecar
