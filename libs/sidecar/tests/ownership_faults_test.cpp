#include "fault_seeds.hpp"
#include "sidecar_cluster.hpp"

#include <azureladder/key_ranges/lease_rules.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace azureladder::sidecar {

namespace {

/// Time for a new cluster to create its table and grant all keys.
constexpr duration startup_time = seconds(8);

/// Longest delays of grants (`delay_grants`) and writes (`delay_writes`) that are applied late.
constexpr duration longest_grant_delay = milliseconds(3100);
constexpr duration longest_write_delay = seconds(6);

constexpr int rounds = 70;

/// Number of rounds at the end in which writes are not delayed.
constexpr int rounds_without_write_delay = 20;

/// Seeds that failed in earlier revisions, by cause.
const std::vector<std::uint64_t> failed_seeds = {
    // A transfer was applied late, after a new process of its writer had granted the keys again.
    22, 41, 1074,
    // A key had two lease holders before ranges were bound to the process of the node; the seeds
    // were
    // not analysed individually.
    34, 75, 137, 1043, 1111, 1115, 1131, 1138, 1142,
    // A new process received the table from a peer that did not have the last transfer of the
    // previous process, and granted the keys again.
    10331, 20118,
    // Requests were refused for a long time after the faults: admission control counted a pause of
    // the process as execution time (24), or one server kept all the load (50010).
    24, 50010};

/// Time after the last fault within which all keys are served again: nodes reconnect, members take
/// over the ranges of lost owners, and the new owners wait until the leases of the previous ones
/// have expired (docs/platform.md, "Who may renew a key's hold").
duration recovery_bound()
{
    const node_options options;
    const duration reconnect_time = options.m_reconnect_after + options.m_max_connect_backoff;
    const duration takeover =
        key_ranges::takeover_time(time_point{}, options.m_leases) - time_point{};
    return reconnect_time + options.m_takeover_delay.m_first + takeover;
}

/// Overlapping series of faults at the owners of keys.
class ownership_faults : public testing::TestWithParam<std::uint64_t>
{
protected:
    ownership_faults()
        : m_random(GetParam() * 7919),
          m_cluster({2, 3 + GetParam() % 3, GetParam(), GetParam() % 3 == 0 ? 64U : 8U})
    {
        for (const auto& node : m_cluster.nodes()) {
            if (node.rfind("shelf", 0) == 0)
                m_owners.push_back(node);
        }
    }

    std::uint64_t random_below(std::uint64_t limit) { return m_random() % limit; }

    duration random_duration(int from_ms, int to_ms)
    {
        return milliseconds(from_ms + static_cast<int>(random_below(to_ms - from_ms)));
    }

    /// Schedules an action that ends a fault.
    void schedule_fault_end(duration delay, std::function<void()> action)
    {
        m_faults_end_at = std::max(m_faults_end_at, m_cluster.now() + delay);
        m_cluster.at(delay, std::move(action));
    }

    const std::string& random_owner() { return m_owners[random_below(m_owners.size())]; }

    void kill(const std::string& node, duration down)
    {
        if (!m_cluster.is_running(node))
            return;
        m_cluster.kill_node(node);
        start_after(node, down);
    }

    void start_after(const std::string& node, duration delay)
    {
        schedule_fault_end(delay, [this, node] {
            if (!m_cluster.is_running(node))
                m_cluster.start_node(node);
            else if (m_cluster.state(node).m_stopping)
                start_after(node, milliseconds(500));
        });
    }

    /// Kills the process of a node shortly after its next table write or its next grant.
    void kill_after_effect(const std::string& node)
    {
        m_kill_after_write = random_below(2) == 0;
        m_kill_target = node;
    }

    void on_effect(const std::string& node, const effect& done)
    {
        const bool wanted = m_kill_after_write ? std::holds_alternative<write_table>(done)
                                               : std::holds_alternative<grant_keys>(done);
        if (node != m_kill_target || !wanted)
            return;
        m_kill_target.clear();
        m_cluster.at(random_duration(0, 30),
                     [this, node] { kill(node, random_duration(20, 600)); });
    }

    void stop(const std::string& node)
    {
        if (!m_cluster.is_running(node))
            return;
        m_cluster.stop_node(node);
        if (random_below(2) == 0)
            m_cluster.at(random_duration(20, 4000),
                         [this, node] { kill(node, random_duration(20, 600)); });
        start_after(node, random_duration(5600, 8000));
    }

    void evacuate()
    {
        std::set<std::string> zones;
        for (std::uint64_t i = random_below(3); i > 0; --i)
            zones.insert("zone-" + std::to_string(random_below(3)));
        m_cluster.evacuate(zones);
        if (random_below(2) == 0)
            schedule_fault_end(random_duration(50, 3000), [this] { m_cluster.evacuate({}); });
    }

    void partition_node(const std::string& node)
    {
        const bool all = random_below(3) == 0;
        const std::string other = random_owner();
        const auto each = [this, node, other, all](bool is_partitioned) {
            for (const auto& peer : m_cluster.nodes()) {
                if (peer != node && (all || peer == other))
                    m_cluster.partition(node, peer, is_partitioned);
            }
        };
        each(true);
        schedule_fault_end(random_duration(200, 9000), [each] { each(false); });
    }

    void partition_store(const std::string& node)
    {
        m_cluster.partition_store(node, true);
        schedule_fault_end(random_duration(300, 9000),
                           [this, node] { m_cluster.partition_store(node, false); });
    }

    void restart_server(const std::string& node)
    {
        if (random_below(2) == 0) {
            const duration silence = random_duration(300, 5000);
            m_cluster.drop_announcements(node, silence);
            schedule_fault_end(silence, [] {});
        }
        if (random_below(3) == 0)
            m_cluster.delay_announcement(node, random_duration(100, 4000));
        const duration down = random_below(2) == 0 ? duration::zero() : random_duration(50, 2500);
        schedule_fault_end(down, [] {});
        if (random_below(3) == 0)
            m_cluster.replace_backend(node, down);
        else
            m_cluster.restart_backend(node, down);
    }

    void freeze(const std::string& node)
    {
        const duration time = random_duration(100, 5000);
        m_cluster.freeze_node(node, time);
        schedule_fault_end(time, [] {});
    }

    void inject_fault(const std::string& node)
    {
        if (m_store_returns_to_earlier_states && random_below(6) == 0) {
            m_cluster.return_store_to_earlier_state(random_duration(0, 8000));
            return;
        }
        switch (random_below(13)) {
        case 0:
            kill(node, random_duration(20, 600));
            break;
        case 1:
            kill(node, random_duration(600, 9000));
            break;
        case 2:
        case 3:
            kill_after_effect(node);
            break;
        case 4:
        case 5:
            restart_server(node);
            break;
        case 6:
            stop(node);
            break;
        case 7:
            evacuate();
            break;
        case 8:
            partition_node(node);
            break;
        case 9:
            partition_store(node);
            break;
        case 10:
            if (random_below(2) == 0) {
                for (const auto& each : m_cluster.nodes())
                    partition_store(each);
            } else {
                m_cluster.reset_links(node);
            }
            break;
        case 11:
            freeze(node);
            break;
        default:
            m_hot_range_start = random_below(3) == 0 ? 65536 : random_below(50000);
        }
    }

    /// Stops injecting faults and waits until the current ones have ended.
    void end_faults()
    {
        m_kill_target.clear();
        m_hot_range_start = 65536;
        m_cluster.delay_grants(0.0);
        m_cluster.delay_writes(0.0);
        m_cluster.lose_responses(0.0);
        m_cluster.evacuate({});
        schedule_fault_end(longest_grant_delay, [] {});
        while (m_cluster.now() < m_faults_end_at)
            send_requests(milliseconds(100));
    }

    void send_requests(duration time)
    {
        const time_point end = m_cluster.now() + time;
        while (m_cluster.now() < end) {
            const std::string from = "orders-" + std::to_string(random_below(2));
            const bool hot = m_hot_range_start < 65536 && random_below(4) != 0;
            const auto key = hot ? m_hot_range_start + random_below(6000) : random_below(65536);
            m_cluster.send(from, "shelf", static_cast<std::uint32_t>(key));
            if (random_below(8) == 0)
                m_cluster.send(from, "orders");
            m_cluster.run_for(milliseconds(12));
        }
    }

    duration random_interval()
    {
        const std::uint64_t kind = random_below(10);
        return kind < 4 ? random_duration(20, 120)
                        : (kind < 9 ? random_duration(100, 900) : random_duration(900, 3000));
    }

    void run(duration bound);

    std::mt19937_64 m_random;
    sidecar_cluster m_cluster;
    std::vector<std::string> m_owners;
    time_point m_faults_end_at;
    std::string m_kill_target;
    bool m_kill_after_write = false;
    std::uint64_t m_hot_range_start = 65536;
    bool m_store_returns_to_earlier_states = false;
};

/// Injects a series of faults and expects that each key has one lease holder at most meanwhile, and
/// is served again within `bound` after the end of the faults.
void ownership_faults::run(duration bound)
{
    m_cluster.run_for(startup_time);
    m_cluster.lose_responses(0.02);
    m_cluster.check_tokens();
    m_cluster.delay_grants(0.1 + 0.1 * static_cast<double>(GetParam() % 6));
    m_cluster.observe([this](const auto& node, const auto& done) { on_effect(node, done); });
    std::string fault_target = random_owner();
    for (int round = 0; round < rounds; ++round) {
        const bool writes_on_time =
            round >= rounds - rounds_without_write_delay || GetParam() % 4 == 0;
        m_cluster.delay_writes(writes_on_time ? 0.0 : 0.4);
        if (!writes_on_time)
            schedule_fault_end(longest_write_delay, [] {});
        // Most faults affect the same node as the previous fault.
        if (random_below(3) == 0)
            fault_target = random_owner();
        inject_fault(fault_target);
        send_requests(random_interval());
        ASSERT_TRUE(m_cluster.violations().empty())
            << "round " << round << ": " << m_cluster.violations().front();
    }
    end_faults();
    send_requests(bound);
    std::vector<std::string> sent;
    for (std::uint32_t key = 0; key < 65536; key += 1024) {
        sent.push_back(m_cluster.send("orders-0", "shelf", key));
        m_cluster.run_for(milliseconds(20));
    }
    m_cluster.run_for(seconds(2));
    for (std::size_t i = 0; i < sent.size(); ++i)
        EXPECT_EQ(m_cluster.status(sent[i]), 200) << "key " << i * 1024;
    ASSERT_TRUE(m_cluster.violations().empty()) << m_cluster.violations().front();
}

} // namespace

// Guards against two lease holders of a key, double executions and false refusals during series of
// faults of servers, nodes, connections and the store, and against keys that stay unserved
// afterwards.
TEST_P(ownership_faults, each_key_has_one_lease_holder_and_is_served_again)
{
    run(recovery_bound());
}

// Guards against the same when the store returns to earlier states meanwhile, so that changes of
// the range table that owners act on are lost. Ranges that nobody can claim wait until the leases
// of the former era have expired.
TEST_P(ownership_faults, each_key_has_one_lease_holder_although_the_store_loses_writes)
{
    m_store_returns_to_earlier_states = true;
    const node_options options;
    run(recovery_bound() +
        (key_ranges::takeover_time(time_point{}, options.m_leases) - time_point{}));
}

INSTANTIATE_TEST_SUITE_P(seeds, ownership_faults, testing::ValuesIn(fault_seeds(failed_seeds)));

} // namespace azureladder::sidecar
