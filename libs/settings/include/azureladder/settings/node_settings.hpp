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

/// Settings of an azureladderd process, read from one JSON file with comments and validated
/// together.
namespace azureladder::settings {

/// HTTP interface for callers, operators and the backend server beside the node.
struct http_settings
{
    /// Address to listen on. With port 0 the kernel selects a port.
    endpoint m_listen{"127.0.0.1", 8080};

    /// Address at which others reach the listener, if it differs from `m_listen`.
    std::optional<endpoint> m_advertise;

    /// Maximum number of threads, and so of requests that are handled concurrently.
    std::uint32_t m_max_threads = 128;

    /// Maximum size of a request body. Larger bodies are rejected with 413.
    std::size_t m_max_body_bytes = std::size_t(1024) * 1024;
};

/// Interface between nodes, which uses UDP and TCP on the same port.
struct peer_settings
{
    endpoint m_listen{"127.0.0.1", 8081};
    std::optional<endpoint> m_advertise;

    /// Addresses, by node, that this node uses instead of the advertised ones.
    std::map<node_id, endpoint> m_routes;
};

/// Connection to the platform's key-value store.
struct store_settings
{
    endpoint m_address;

    /// Timeout of a store call.
    duration m_timeout = milliseconds(1000);
};

struct log_settings
{
    log_level m_level = log_level::info;

    /// File that the log is appended to; standard output if absent.
    std::optional<std::string> m_file;
};

/// Number of shards of the keys in the platform store. The first node writes the numbers to the key
/// `cluster`; a node with different settings does not start.
struct cluster_settings
{
    std::uint32_t m_plan_shards = 16;
    std::uint32_t m_slice_shards = 16;
};

/// Settings of a node. `docs/operators.md` lists each field with its unit and range.
struct node_settings
{
    node_id m_node;
    std::string m_zone;
    http_settings m_http;
    peer_settings m_peer;
    store_settings m_store;
    log_settings m_log;
    cluster_settings m_cluster;

    /// Options of the reducer from the sections `timing` and `limits`.
    core::core_options m_core_options;

    /// Time for which a stopping node keeps its listeners open after it reports that it is not
    /// ready.
    duration m_stop_grace = milliseconds(500);

    /// Time after which a stopping node exits even if requests are still in flight.
    duration m_stop_timeout = seconds(60);

    /// Seed of the random number generator, for tests; taken from the system if absent.
    std::optional<std::uint64_t> m_seed;
};

} // namespace azureladder::settings
