#pragma once

#include <azureladder/base/enum_names.hpp>
#include <azureladder/base/executed.hpp>
#include <azureladder/base/ids.hpp>
#include <azureladder/base/json.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Reads the logs of routers, backend servers and callers and checks them for violations of rules.
namespace azureladder::audit {

/// Log events that the audit uses; other events are counted and skipped.
enum class event_kind
{
    node_started,
    node_stopped,
    request_received,
    request_forwarded,
    request_dispatched,
    request_finished,
    ownership_started,
    ownership_ended,
    revision_installed,
    change_accepted,
    server_started,
    execution_started,
    execution_finished,
    execution_refused,
    call_started,
    call_finished,
};

inline constexpr enum_name<event_kind> event_kind_names[] = {
    {event_kind::node_started, "node_started"},
    {event_kind::node_stopped, "node_stopped"},
    {event_kind::request_received, "request_received"},
    {event_kind::request_forwarded, "request_forwarded"},
    {event_kind::request_dispatched, "request_dispatched"},
    {event_kind::request_finished, "request_finished"},
    {event_kind::ownership_started, "ownership_started"},
    {event_kind::ownership_ended, "ownership_ended"},
    {event_kind::revision_installed, "revision_installed"},
    {event_kind::change_accepted, "change_accepted"},
    {event_kind::server_started, "server_started"},
    {event_kind::execution_started, "execution_started"},
    {event_kind::execution_finished, "execution_finished"},
    {event_kind::execution_refused, "execution_refused"},
    {event_kind::call_started, "call_started"},
    {event_kind::call_finished, "call_finished"},
};

constexpr std::string_view to_string(event_kind value)
{
    return find_enum_name(event_kind_names, value);
}

/// Position of a line in the logs; `m_file` is an index into the files of the history.
struct log_position
{
    std::uint32_t m_file = 0;
    std::uint64_t m_line = 0;
};

/// Zones and servers that one accepted change takes out of service or returns to service.
struct service_changes
{
    std::vector<std::string> m_removed_zones;
    std::vector<std::string> m_returned_zones;
    std::vector<std::string> m_removed_servers;
    std::vector<std::string> m_returned_servers;
};

/// One log line. Fields that the line does not have keep their defaults.
struct event
{
    event_kind m_kind = event_kind::node_started;
    log_position m_position;
    std::int64_t m_time_us = 0;

    /// Ids are only compared, so they are stored as text.
    std::string m_node;
    std::string m_incarnation;
    std::string m_request_id;
    std::string m_service;
    std::string m_key;
    std::string m_idempotency_key;
    std::string m_method;
    std::string m_server;
    std::string m_zone;

    /// Destination of a forwarded request, outcome of a finished one or apply id of a change.
    std::string m_detail;
    std::string m_reason;

    /// Slice of the key; the space is empty when the service is not divided by key.
    slice_id m_slice;
    epoch_number m_epoch = 0;
    revision_number m_revision = 0;
    std::uint32_t m_attempt = 0;
    std::uint32_t m_in_flight = 0;

    /// Number of the execution in one run of a server, from 1; zero when the line has none.
    std::uint64_t m_execution = 0;

    /// Maximum number of concurrent requests at the backend server; unset when the line has none.
    std::optional<std::uint32_t> m_concurrency_limit;
    int m_status = 0;
    std::optional<executed> m_executed;

    /// Role of the node that finished a request; empty when the line has none.
    std::string m_role;

    /// Wall clock time at which an ownership or execution ended, when the line has it. It is
    /// earlier than `m_time_us` when a paused process detects the expiry of its lease late.
    std::optional<std::int64_t> m_logged_end_us;

    std::string m_echoed_request_id;
    std::string m_echoed_key;
    bool m_is_complete = true;

    /// Set for change_accepted only. A pointer, to keep the other events small.
    std::shared_ptr<const service_changes> m_changes;
};

/// Whether requests with the method may be executed more than once (RFC 9110, section 9.2.2).
bool is_idempotent_method(std::string_view method);

/// Event of one parsed log line; nothing when the audit does not use the event. Throws
/// `nlohmann::json::exception` when a field has the wrong type.
std::optional<event> parse_event(const json& line);

} // namespace azureladder::audit
