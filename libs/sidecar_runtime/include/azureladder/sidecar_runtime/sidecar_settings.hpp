#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/object_reader.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azureladder::sidecar_runtime {

/// Settings of one node. All endpoints but that of the store are addresses that the node binds.
struct sidecar_settings
{
    /// Name of the node, unique in the deployment.
    std::string m_node;

    std::string m_zone;

    /// Service of the backend server beside the node.
    std::string m_service;

    /// Receives requests of callers and of the backend server.
    endpoint m_caller_address;

    /// Receives announcements of the backend server.
    endpoint m_registry_address;

    /// Receives readiness probes of the platform.
    endpoint m_ready_address;

    /// Accepts connections of other nodes.
    endpoint m_peer_address;

    /// Serves metrics.
    endpoint m_metrics_address;

    /// Address of the platform's key-value store.
    endpoint m_store_address;

    /// Stop grace period of the platform, in milliseconds.
    std::int64_t m_stop_grace_ms = 6000;

    /// Time after which a draining backend server must not receive new requests, in milliseconds.
    std::int64_t m_drain_ms = 2000;

    /// Retry budget of all nodes together: repeated executions per request.
    double m_retry_ratio = 0.2;

    /// Repeated executions of each service that all nodes together may add in one window, beside
    /// the ratio.
    double m_retry_slack = 60.0;

    /// Window in milliseconds over which the quotas of organisations hold, and what all nodes
    /// together may exceed them by in one: a share of the quota, and a number of requests.
    std::int64_t m_quota_window_ms = 5000;
    double m_quota_over = 0.1;
    double m_quota_slack = 20.0;

    /// Bandwidth of the VM's link in Mbit/s, of which documents and long bodies between nodes use a
    /// part only; 0 if unknown, for no limit.
    double m_link_mbps = 0.0;

    /// Memory of the process in MB, of which received responses use a part only. The default is
    /// that of the smallest VM.
    std::int64_t m_memory_mb = 160;

    /// Whether keys are moved to faster backend servers when requests miss their targets.
    bool m_placement_by_speed = true;

    /// Whether the time left to a request's target decides how much latency a server has to save to
    /// get the request.
    bool m_selection_by_target = true;
};

/// Parses and validates settings. Appends errors to `errors`; the result is then incomplete.
sidecar_settings parse_settings(const std::string& text, std::vector<field_error>& errors);

/// Same for a file. An unreadable file is reported as an error with an empty field path.
sidecar_settings load_settings(const std::string& path, std::vector<field_error>& errors);

} // namespace azureladder::sidecar_runtime
