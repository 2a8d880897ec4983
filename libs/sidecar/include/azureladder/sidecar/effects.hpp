#pragma once

#include <azureladder/base/json.hpp>
#include <azureladder/base/log_level.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/sidecar/departed_servers.hpp>
#include <azureladder/sidecar/forwarded_request.hpp>
#include <azureladder/sidecar/peer_frame.hpp>
#include <azureladder/sidecar/server_response.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace azureladder::sidecar {

/// Forwards the response of a backend server to the caller.
struct forward_response
{
    std::uint64_t m_caller = 0;
    server_response_ptr m_response;
};

/// Sends a response that the node itself generates.
struct respond_to_caller
{
    std::uint64_t m_caller = 0;
    int m_status = 503;
    std::string m_reason;

    /// Value of Retry-After; zero omits the header.
    duration m_retry_after{};
};

/// Answers a message of the backend server about itself. One about its departure is acknowledged
/// when it is stored, or after a short wait for the store.
struct respond_to_backend
{
    std::uint64_t m_message = 0;
    bool m_is_acknowledged = true;
};

struct connect_node
{
    std::string m_node;
    std::string m_address;
};

struct close_link
{
    std::uint64_t m_link = 0;
};

struct send_frame
{
    std::uint64_t m_link = 0;
    peer_frame m_frame;
};

/// Sends a request to the backend server.
struct start_execution
{
    std::uint64_t m_execution = 0;
    forwarded_request_ptr m_request;
    std::string m_backend_id;
    std::string m_backend_address;
    duration m_remaining{};
};

/// Aborts an execution and closes its connection to the backend server.
struct cancel_execution
{
    std::uint64_t m_execution = 0;
};

/// Grants a key range to the backend server, or renews the grant.
struct grant_keys
{
    std::uint64_t m_command_id = 0;

    /// Number of the connection that carries the command. A new number opens a connection; the
    /// number of a closed connection is not reused.
    std::uint64_t m_connection = 0;

    /// Server that the keys are granted to; a different server at the address refuses the command.
    std::string m_backend_id;
    std::string m_backend_address;
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;

    /// Fencing token: the token of the range in the table, combined with the connection number.
    std::uint64_t m_token = 0;
    duration m_lease_duration{};
    std::string m_handover;
};

/// Revokes a key range at the backend server.
struct release_keys
{
    std::uint64_t m_command_id = 0;
    std::string m_backend_address;
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;
    std::uint64_t m_token = 0;
};

/// Asks the backend server whether it stays in service, at its health check path.
struct check_backend
{
    /// Id of the check, from 1 on.
    std::uint64_t m_check = 0;
    std::string m_backend_id;
    std::string m_backend_address;
    std::string m_path;
};

struct decode_configuration
{
    std::uint64_t m_revision = 0;
    std::string m_text;
};

/// Tells the store client of an era that a peer has reported. Responses of former eras are of no
/// use any more.
struct enter_store_era
{
    std::uint64_t m_era = 0;
};

struct read_table
{
    std::string m_service;
};

struct write_table
{
    std::string m_service;

    /// Revision with the era that the write belongs to; number 0 if the table must not exist in it.
    std::uint64_t m_expected_revision = 0;
    std::string m_text;
};

/// Writes the acknowledged departures to the store, where the next process of this node reads them.
struct store_departures
{
    departed_servers m_departed;
};

/// Counts a finished request and its latency.
struct record_request
{
    std::string m_service;

    /// Service on the VM that the request originates from.
    std::string m_caller_service;
    std::uint32_t m_priority = 0;
    std::string m_outcome;
    duration m_latency{};
};

struct log_line
{
    log_level m_level = log_level::info;
    std::string m_event;
    json m_fields;
};

/// Ends the process.
struct stop_process
{
};

using effect =
    std::variant<forward_response, respond_to_caller, respond_to_backend, connect_node, close_link,
                 send_frame, start_execution, cancel_execution, grant_keys, release_keys,
                 check_backend, decode_configuration, enter_store_era, read_table, write_table,
                 store_departures, record_request, log_line, stop_process>;

using effects = std::vector<effect>;

} // namespace azureladder::sidecar
