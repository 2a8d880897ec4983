#pragma once

#include <azureladder/core/node_state.hpp>
#include <azureladder/core/step.hpp>
#include <azureladder/records/document.hpp>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace azureladder::core::testing {

/// Faults of the simulated network and store. Probabilities are in parts per thousand.
struct fault_options
{
    std::uint32_t m_loss = 0;
    std::uint32_t m_duplication = 0;
    duration m_min_delay = milliseconds(1);
    duration m_max_delay = milliseconds(3);
    std::uint32_t m_store_lost_answers = 0;
    duration m_store_delay = milliseconds(3);
};

/// In-memory platform store with compare-and-swap.
struct simulated_store
{
    struct entry
    {
        std::string m_value;
        std::uint64_t m_version = 0;
    };
    std::map<std::string, entry> m_entries;
    bool m_down = false;
    std::uint64_t m_calls = 0;

    /// Total size of the values returned by reads, in bytes.
    std::uint64_t m_bytes_read = 0;
};

struct simulated_node
{
    node_identity m_identity;
    backend_info m_backend;
    node_state m_state;
    bool m_running = false;
    bool m_backend_up = true;
    bool m_finished = false;
    time_point m_paused_until{};
    time_point m_next_announcement{};

    /// Offset of the local clock from simulated time, and its rate error in parts per thousand.
    duration m_clock_offset{0};
    std::int64_t m_clock_rate_error_permille = 0;

    /// Number of starts of this node. Events for an earlier process are dropped.
    std::uint64_t m_process_number = 0;
    std::vector<event> m_pending_events;
};

/// Runs several nodes over a simulated network and store, in one thread and deterministically from
/// a seed. Checks after each event that no two nodes serve one slice and that epochs do not
/// decrease.
class cluster_harness
{
public:
    explicit cluster_harness(std::uint64_t seed, const core_options& options = core_options());

    void add_node(const std::string& name, const std::string& zone, const std::string& service,
                  fencing checks = fencing::checked);
    void start(const std::string& name);
    void start_all();

    /// Ends the process without a planned stop.
    void kill(const std::string& name);
    void pause(const std::string& name, duration time);
    void stop(const std::string& name);

    /// Drops messages between the two nodes in both directions while blocked.
    void set_blocked(const std::string& a, const std::string& b, bool blocked);
    void set_isolated(const std::string& name, bool isolated);

    /// Applies `records` to the configuration in the store, which nodes poll.
    void apply(const json& records);

    void run_for(duration time);
    bool run_until(const std::function<bool()>& condition, duration limit);

    time_point now() const { return m_now; }
    simulated_node& node(const std::string& name) { return m_nodes.at(name); }
    std::vector<std::string> names() const;
    time_point local_time(const simulated_node& target) const;

    /// Name of a running node that serves the slice now; empty when there is none.
    std::string serving_node(const slice_id& slice) const;
    std::size_t served_slice_count(const std::string& name) const;

    /// All slices of the claim space and of all services in the configuration.
    std::vector<slice_id> all_slices() const;
    bool all_served() const;

    /// Text for failure messages: each unserved slice with its owner and phase in the state of each
    /// node.
    std::string describe_unserved_slices() const;

    /// Schedules an event for a node at the current simulated time.
    void inject(const std::string& name, const event& input);

    fault_options m_faults;
    simulated_store m_store;

    /// Descriptions of the detected invariant violations.
    std::vector<std::string> m_violations;

    std::size_t m_log_count = 0;
    std::map<std::string, std::size_t> m_events_logged;
    std::vector<std::string> m_log;
    bool m_record_log = false;

private:
    struct scheduled_event
    {
        time_point m_time;
        std::uint64_t m_order = 0;
        std::string m_node;
        std::uint64_t m_process_number = 0;
        event m_event;
    };
    struct is_later
    {
        bool operator()(const scheduled_event& a, const scheduled_event& b) const
        {
            return std::tie(a.m_time, a.m_order) > std::tie(b.m_time, b.m_order);
        }
    };

    void schedule(duration delay, const std::string& name, event input);
    void deliver(simulated_node& target, const event& input);
    void execute(simulated_node& source, const effect& output);
    void send(simulated_node& source, const send_message& output);
    void access_store(simulated_node& source, const store_read& output);
    void access_store(simulated_node& source, const store_write& output);
    void answer_store(simulated_node& source, store_finished result);
    void check_invariants(simulated_node& changed);
    bool is_blocked(const std::string& a, const std::string& b) const;
    bool chance(std::uint32_t permille);
    void deliver_pending_events(simulated_node& target);
    void announce_backend(simulated_node& target);

    core_options m_options;
    random_source m_random;
    time_point m_now{seconds(100)};
    std::uint64_t m_order = 0;
    std::map<std::string, simulated_node> m_nodes;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, is_later> m_queue;
    std::set<std::pair<std::string, std::string>> m_blocked;
    std::set<std::string> m_isolated;
    records::document m_document;

    struct last_owner
    {
        std::string m_node;
        epoch_number m_epoch = 0;
    };
    std::map<slice_id, last_owner> m_last_owners;
};

} // namespace azureladder::core::testing
