#pragma once

#include <azureladder/base/json.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/deployment/fault_links.hpp>
#include <azureladder/deployment/node_spec.hpp>
#include <azureladder/deployment/process.hpp>
#include <azureladder/http/client.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azureladder::deployment {

/// Options of `cluster`.
struct cluster_options
{
    /// Directory of the programs.
    std::string m_binaries;

    /// Directory for settings, logs and histories; created when missing.
    std::string m_directory;

    std::vector<node_spec> m_nodes;

    /// Settings of all nodes in addition to addresses and names, merged into each settings file.
    json m_settings = json::object();

    /// Routes the traffic between nodes and to the platform store through a fault proxy.
    bool m_fault_links = false;
};

/// Result of a command of the operators' command line.
struct command_result
{
    int m_exit_code = 0;
    std::string m_output;
};

/// A running deployment on loopback addresses: platform store, routers and backend servers as
/// separate processes. All processes end with the object.
class cluster
{
public:
    explicit cluster(cluster_options options);
    ~cluster();

    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Starts all processes and waits until each node is ready. Returns false after `limit`.
    bool start(seconds limit = seconds(20));

    void start_router(const std::string& node);
    void start_backend(const std::string& node);

    /// Process of a router or a backend server; must have been started.
    process& router(const std::string& node);
    process& backend(const std::string& node);
    process& store();

    const endpoint& http_address(const std::string& node) const;
    const endpoint& backend_address(const std::string& node) const;
    const std::vector<node_spec>& nodes() const { return m_options.m_nodes; }

    /// Sends a request to a router over a connection of its own.
    result<http::response, http::client_error> call(const std::string& node,
                                                    const http::request& message,
                                                    milliseconds timeout = milliseconds(10'000));

    /// JSON status of a router, or nothing when it does not answer.
    std::optional<json> status(const std::string& node);

    bool ready(const std::string& node);

    /// Runs the operators' command line against `node`.
    command_result command(const std::string& node, const std::vector<std::string>& arguments);

    /// Applies records through `node` and returns the result of `azureladder apply`.
    command_result apply(const std::string& node, const json& records);

    /// Sends faults to the store double, for example {"down": true}.
    bool control_store(const json& faults);

    /// Sends faults to a backend server double, for example {"drain": true}.
    bool control_backend(const std::string& node, const json& faults);

    /// Links that can be cut, delayed and healed; requires `cluster_options::m_fault_links`.
    fault_links& links();

    /// Isolates a node from the store, or from all other nodes. No message passes until `heal()`;
    /// data of TCP connections is delayed until then.
    bool isolate_from_store(const std::string& node);
    bool isolate_from_peers(const std::string& node);

    /// Isolates all nodes of an availability zone from the other zones and from the store.
    bool isolate_zone(const std::string& zone);

    /// Discards the messages that `node` sends to the other nodes, but delivers theirs to `node`.
    /// With `receives`, discards the messages sent to `node` instead.
    bool discard_one_way(const std::string& node, bool receives = false);

    /// Delays, drops or reorders the traffic between all nodes; fields as in the proxy's README.
    bool set_peer_faults(const json& faults);

    /// Ends all faults of the links of a node to the other nodes and the store, or of all links.
    bool heal(const std::string& node);
    bool heal_zone(const std::string& zone);
    bool heal_all();

    /// Logs of all routers and execution logs of all backend servers, for the audit.
    std::vector<std::string> log_files() const;

    const std::string& directory() const { return m_options.m_directory; }

private:
    struct member;

    member& find(const std::string& node);
    const member& find(const std::string& node) const;
    bool start_links(milliseconds limit);
    void write_settings(const member& target) const;
    bool post(const endpoint& address, const std::string& target, const json& body);

    cluster_options m_options;
    endpoint m_store_address;
    std::unique_ptr<process> m_store;
    fault_links m_links;
    std::map<std::string, std::unique_ptr<member>> m_members;
    unsigned m_commands = 0;
};

/// Polls `condition` until it is true or `limit` has passed; returns whether it became true.
bool wait_until(const std::function<bool()>& condition, milliseconds limit);

/// A loopback address whose TCP and UDP port are free.
endpoint free_endpoint();

/// Nodes of an example (examples/<name>/nodes.json). Aborts when the file is not readable.
std::vector<node_spec> load_nodes(const std::string& path);

/// Records of an example, JSON with comments.
json load_records(const std::string& path);

} // namespace azureladder::deployment
