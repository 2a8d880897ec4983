#pragma once

#include <azureladder/base/json.hpp>
#include <azureladder/base/log_level.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/sidecar/departed_lives.hpp>
#include <azureladder/sidecar/forwarded_request.hpp>
#include <azureladder/sidecar/peer_frame.hpp>
#include <azureladder/sidecar/server_answer.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace azureladder::sidecar {

/// Passes the answer of a backend server to its caller.
struct pass_answer
{
    std::uint64_t m_caller = 0;
    server_answer_ptr m_answer;
};

/// Answers a caller in the node's own name.
struct answer_caller
{
    std::uint64_t m_caller = 0;
    int m_status = 503;
    std::string m_reason;

    /// When the caller may come back; zero to say nothing.
    duration m_retry_after{};
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

/// Gives up an execution and closes its connection to the backend server.
struct cancel_execution
{
    std::uint64_t m_execution = 0;
};

/// Grants or renews keys at the backend server.
struct grant_keys
{
    std::uint64_t m_order = 0;

    /// Number of the connection that carries the order. A new number opens a connection; one that
    /// has ended is not opened again.
    std::uint64_t m_connection = 0;

    /// Server that takes the keys; another one at the address refuses them.
    std::string m_backend_id;
    std::string m_backend_address;
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;

    /// Fencing token: that of the range in the table, then the number of the connection.
    std::uint64_t m_token = 0;
    duration m_hold_time{};
    std::string m_handover;
};

/// Takes keys back from the backend server.
struct release_keys
{
    std::uint64_t m_order = 0;
    std::string m_backend_address;
    std::uint32_t m_from = 0;
    std::uint32_t m_to = 0;
    std::uint64_t m_token = 0;
};

struct decode_configuration
{
    std::uint64_t m_revision = 0;
    std::string m_text;
};

struct read_table
{
    std::string m_service;
};

struct write_table
{
    std::string m_service;
    std::uint64_t m_expected_revision = 0;
    std::string m_text;
};

/// Keeps the acknowledged departures for the next process of this node.
struct record_departures
{
    departed_lives m_lives;
};

/// Counts a finished request and its latency.
struct record_request
{
    std::string m_service;

    /// Service on the VM where the request began.
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
    std::variant<pass_answer, answer_caller, connect_node, close_link, send_frame, start_execution,
                 cancel_execution, grant_keys, release_keys, decode_configuration, read_table,
                 write_table, record_departures, record_request, log_line, stop_process>;

using effects = std::vector<effect>;

} // namespace azureladder::sidecar
