#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/object_reader.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azureladder::sidecar_runtime {

/// Settings of one node.
struct sidecar_settings
{
    /// Name of the node, unique among all.
    std::string m_node;

    std::string m_zone;

    /// Service of the backend server beside the node.
    std::string m_service;

    /// Where callers and the backend server send their requests.
    endpoint m_caller_address;

    /// Where the backend server announces itself.
    endpoint m_registry_address;

    /// Where the platform asks whether the node is ready.
    endpoint m_ready_address;

    /// Where other nodes connect.
    endpoint m_peer_address;

    /// Where metrics are read.
    endpoint m_metrics_address;

    /// The platform's store.
    endpoint m_store_address;

    /// Stop grace period of the platform, in milliseconds.
    std::int64_t m_stop_grace_ms = 6000;

    /// Time within which a leaving backend server must get no more requests, in milliseconds.
    std::int64_t m_drain_ms = 2000;

    /// Repeated executions that all nodes together may make, as a share of all requests.
    double m_retry_ratio = 0.2;
};

/// Reads and checks settings. On errors, which go to `errors`, the result is partial.
sidecar_settings parse_settings(const std::string& text, std::vector<field_error>& errors);

/// Same for a file; a file that can't be read is an error of the field "".
sidecar_settings load_settings(const std::string& path, std::vector<field_error>& errors);

} // namespace azureladder::sidecar_runtime
