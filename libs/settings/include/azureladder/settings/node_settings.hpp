#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/ids.hpp>
#include <azureladder/base/log_level.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/core/core_options.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Settings of a router process: one JSON file with comments, checked as a whole.
namespace azureladder::settings {

/// Interface for callers, operators and the backend server beside the node.
struct http_settings
{
    /// Address to listen on. Port 0 lets the kernel choose a port.
    endpoint m_listen{"127.0.0.1", 8080};

    /// Address under which others reach the listener, when it differs.
    std::optional<endpoint> m_advertise;

    /// Upper limit of threads and so of requests that are read or answered at once.
    std::uint32_t m_max_threads = 128;

    /// Larger request bodies are refused with 413.
    std::size_t m_max_body_bytes = std::size_t(1024) * 1024;
};

/// Interface between nodes: UDP and TCP on the same port.
struct peer_settings
{
    endpoint m_listen{"127.0.0.1", 8081};
    std::optional<endpoint> m_advertise;

    /// Addresses of nodes that this node reaches at another address than they advertise.
    std::map<node_id, endpoint> m_routes;
};

/// The platform's key-value service.
struct store_settings
{
    endpoint m_address;

    /// Time after which a call without an answer counts as lost.
    duration m_timeout = milliseconds(1000);
};

struct log_settings
{
    log_level m_level = log_level::info;

    /// File to append to; standard output when absent.
    std::optional<std::string> m_file;
};

/// Layout of the keys in the platform store. The first node writes it to the key `cluster`;
/// a node whose settings differ does not start.
struct cluster_settings
{
    std::uint32_t m_plan_shards = 16;
    std::uint32_t m_slice_shards = 16;
};

/// All settings of a node. `docs/operators.md` lists each field with its unit and range.
struct node_settings
{
    node_id m_node;
    std::string m_zone;
    http_settings m_http;
    peer_settings m_peer;
    store_settings m_store;
    log_settings m_log;
    cluster_settings m_cluster;

    /// Timing and limits of the reducer, filled from `timing` and `limits`.
    core::core_options m_core;

    /// Time for which a stopping node keeps its listeners open after readiness fails.
    duration m_stop_grace = milliseconds(500);

    /// Time after which a stopping node ends although requests are still in flight.
    duration m_stop_timeout = seconds(60);

    /// Seed of the node's random numbers; taken from the system when absent. For tests.
    std::optional<std::uint64_t> m_seed;
};

} // namespace azureladder::settings
