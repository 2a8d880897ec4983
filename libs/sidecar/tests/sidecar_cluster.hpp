#pragma once

#include "fake_backend.hpp"
#include "fake_store.hpp"

#include <azureladder/sidecar/step.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace azureladder::sidecar {

/// Nodes, backend servers, connections and a store in simulated time. The nodes run the production
/// reducer; this class simulates everything else and checks the guarantees.
class sidecar_cluster
{
public:
    struct shape
    {
        /// Number of backend servers of the service "orders", which is not sharded.
        std::size_t m_unsharded_servers = 3;

        /// Number of backend servers of the sharded service "shelf".
        std::size_t m_sharded_servers = 3;

        std::uint64_t m_seed = 1;

        /// Number of ranges above which adjacent ranges are merged.
        std::size_t m_max_ranges = node_options().m_max_ranges;

        /// Limits of the organisations by name, which is also their key. None: the configuration
        /// has no organisations. Routes allow anonymous requests.
        std::map<std::string, routing::quota_limit> m_organisations;
    };

    explicit sidecar_cluster(const shape& wanted);

    /// Advances the simulated time and runs the actions that are due.
    void run_for(duration time);

    /// Sends a caller's request to a node and returns the request id.
    std::string send(const std::string& node, const std::string& service,
                     std::optional<std::uint32_t> key = {});

    /// Sends a call of the backend server beside a node to the service "orders".
    std::string send_call(const std::string& node);

    /// Sends a request with the key of an organisation to the service "orders".
    std::string send_with_key(const std::string& node, const std::string& key);

    /// Writes a configuration with another limit of an organisation.
    void set_limit(const std::string& organisation, const routing::quota_limit& limit);

    /// Number of arrivals at backend servers beyond the first of each request, rejected ones
    /// included.
    std::size_t repeated_arrivals() const;

    /// Lets backend servers reject a share of the requests.
    void reject_requests(double share) { m_rejected_share = share; }

    /// Gives two of three requests sent from now on a body of 20 to 140 KB.
    void send_bodies() { m_sends_bodies = true; }

    /// Closes the connection of the caller of an open request.
    void disconnect_caller(const std::string& request);

    /// Status of the response to the caller; 0 while there is none.
    int status(const std::string& request) const;

    /// Number of executions of a request by all backend servers.
    std::size_t executions(const std::string& request) const;

    /// Ends the process of a node and closes its connections.
    void kill_node(const std::string& node);

    /// Starts a new process of a node.
    void start_node(const std::string& node);

    /// Requests a graceful stop of a node, like SIGTERM. The node runs until its process ends.
    void stop_node(const std::string& node);

    /// Suspends a node; it processes the events of this time afterwards.
    void freeze_node(const std::string& node, duration time);

    /// Drops the frames sent and refuses new connections between two nodes, or ends this.
    void partition(const std::string& a, const std::string& b, bool is_partitioned);

    /// Closes all connections of a node to its peers.
    void reset_links(const std::string& node);

    /// Makes the store unreachable for a node, or reachable again.
    void partition_store(const std::string& node, bool is_partitioned);

    /// The store returns to its state of `age` ago, in a new era. Nodes learn of it one after the
    /// other. The recorded departures are gone.
    void return_store_to_earlier_state(duration age);

    /// Sets the evacuated zones.
    void evacuate(const std::set<std::string>& zones);

    /// Loses the responses of backend servers to a share of the requests.
    void lose_responses(double share) { m_lost_response_share = share; }

    /// Sets the time that a backend server takes for a request.
    void set_execution_time(duration time) { m_execution_time = time; }

    /// Sets the time that the backend server of one node takes for a request.
    void set_execution_time(const std::string& node, duration time)
    {
        m_execution_times[node] = time;
    }

    /// Applies a share of the grants 100 to 3100 ms late.
    void delay_grants(double share) { m_late_grant_share = share; }

    /// Ends a backend server; a new incarnation starts at its address after `down`.
    void restart_backend(const std::string& node, duration down);

    /// Ends a backend server; one with a new id starts at its address after `down`.
    void replace_backend(const std::string& node, duration down);

    /// Drops the announcements of the server beside a node for the given time.
    void drop_announcements(const std::string& node, duration time);

    /// Delivers an announcement made now by the server beside a node after `delay`.
    void delay_announcement(const std::string& node, duration delay);

    /// Reports the result of a share of the table writes as unknown and applies them 1 to 6 s
    /// later.
    void delay_writes(double share) { m_late_write_share = share; }

    /// Schedules an action after `delay`.
    void at(duration delay, std::function<void()> action);

    /// Sets a function that is called with each effect of a node before the effect is executed. It
    /// may change the cluster only by scheduling an action with `at`.
    void observe(std::function<void(const std::string&, const effect&)> observer)
    {
        m_observer = std::move(observer);
    }

    /// Enables the check that a server incarnation is granted keys only with a higher fencing token
    /// than other incarnations were granted them before.
    void check_tokens() { m_checks_tokens = true; }

    fake_backend& backend(const std::string& node) { return *m_machines.at(node).m_backend; }
    const node_state& state(const std::string& node) const { return *m_machines.at(node).m_state; }
    const fake_store& store() const { return m_store; }
    std::vector<std::string> nodes() const;
    bool is_running(const std::string& node) const
    {
        return m_machines.at(node).m_state != nullptr;
    }
    time_point now() const { return m_now; }

    /// Violations of the guarantees, in chronological order. Empty in a correct run.
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    /// Rate of a link of 10 Mbit/s for bodies, in bytes a second.
    static constexpr double body_rate = 750'000;

    struct machine
    {
        std::unique_ptr<node_state> m_state;
        std::unique_ptr<fake_backend> m_backend;
        std::string m_service;
        std::string m_zone;
        std::uint64_t m_incarnation = 0;
        time_point m_frozen_until;
        time_point m_announcements_dropped_until;
        std::vector<std::function<void()>> m_deferred_events;

        /// Incarnation of the backend server at the other end of each connection for grants, by
        /// incarnation of the node and connection number.
        std::map<std::pair<std::uint64_t, std::uint64_t>, std::int64_t> m_grant_connections;
    };

    /// Keys that were granted to an incarnation of a backend server.
    struct granted_keys
    {
        std::string m_node;
        std::int64_t m_backend_incarnation = 0;
        std::uint32_t m_from = 0;
        std::uint32_t m_to = 0;
        std::uint64_t m_fencing_token = 0;
    };

    struct link_end
    {
        std::string m_node;
        std::string m_peer;
        std::uint64_t m_other = 0;
    };

    std::string send_to_host(const std::string& node, const std::string& host, bool is_idempotent,
                             std::optional<std::uint32_t> key,
                             std::optional<std::string> api_key = {});
    void handle_event(const std::string& node, const event& next_event);
    void execute_effect(const std::string& node, const effect& wanted);
    void connect(const std::string& node, const std::string& peer);
    void close(std::uint64_t link);
    void deliver(std::uint64_t link, const peer_frame& frame);
    void grant(const std::string& node, const grant_keys& command);
    void execute(const std::string& node, const start_execution& wanted);
    void deliver_operator_documents(const std::string& node);
    void read_store(const std::string& node);

    /// Whether the response to a request is of use to a node that took the store to be in
    /// `request_era`. Tells the node of the era of the response if that is newer.
    bool accept_store_response(const std::string& node, std::uint64_t request_era,
                               std::uint64_t response_era);
    bool is_up(const std::string& node, std::uint64_t incarnation) const;
    bool is_partitioned(const std::string& a, const std::string& b) const;
    void check_lease_holders();
    void check_disconnected_callers();
    void check_token(const std::string& node, const grant_keys& command);
    void write(const std::string& node, const write_table& wanted);
    double random_share() { return static_cast<double>(m_random() % 1000) / 1000.0; }

    std::mt19937_64 m_random;
    std::size_t m_max_ranges;
    std::function<void(const std::string&, const effect&)> m_observer;
    time_point m_now{std::chrono::seconds(1000)};
    std::multimap<time_point, std::function<void()>> m_scheduled_actions;
    std::map<std::string, machine> m_machines;
    fake_store m_store;
    std::map<std::uint64_t, link_end> m_links;
    std::uint64_t m_next_id = 1;
    std::set<std::pair<std::string, std::string>> m_partitions;
    std::set<std::string> m_store_partitions;
    std::map<std::string, departed_servers> m_departures;
    std::shared_ptr<const routing::routing_configuration> m_configuration;
    std::set<std::string> m_evacuated;
    std::uint64_t m_operator_revision = 10;
    std::uint64_t m_configuration_revision = 5;
    std::map<std::uint64_t, std::string> m_request_of_caller;

    /// Node and caller id of each request, and time at which callers have disconnected.
    std::map<std::string, std::pair<std::string, std::uint64_t>> m_caller_of_request;
    std::map<std::string, time_point> m_disconnected_at;
    duration m_execution_time = milliseconds(60);
    std::map<std::string, duration> m_execution_times;
    std::map<std::string, int> m_status;
    std::map<std::string, bool> m_is_idempotent;
    bool m_sends_bodies = false;
    std::map<std::string, std::string> m_body_of_request;
    double m_lost_response_share = 0.0;
    double m_rejected_share = 0.0;
    std::map<std::string, std::size_t> m_arrivals;
    double m_late_grant_share = 0.0;
    double m_late_write_share = 0.0;
    bool m_checks_tokens = false;
    std::vector<granted_keys> m_granted_keys;
    time_point m_next_check;
    std::vector<std::string> m_violations;
};

} // namespace azureladder::sidecar
