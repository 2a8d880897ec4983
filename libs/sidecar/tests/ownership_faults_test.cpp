#include "fault_seeds.hpp"
#include "sidecar_cluster.hpp"

#include <azureladder/key_ranges/lease_rules.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace azureladder::sidecar {

namespace {

/// Time for a new cluster to create its table and grant all keys.
constexpr duration settling = seconds(8);

/// Longest delays of grants (`delay_grants`) and writes (`delay_writes`) that are applied late.
constexpr duration longest_grant_delay = milliseconds(3100);
constexpr duration longest_write_delay = seconds(6);

constexpr int rounds = 70;

/// Number of rounds at the end in which writes are not delayed.
constexpr int rounds_with_timely_writes = 20;

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
    const duration mesh = options.m_reconnect_after + options.m_max_connect_backoff;
    const duration takeover =
        key_ranges::takeover_time(time_point{}, options.m_leases) - time_point{};
    return mesh + options.m_takeover_delay.m_first + takeover;
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

    std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }

    duration between(int from_ms, int to_ms)
    {
        return milliseconds(from_ms + static_cast<int>(below(to_ms - from_ms)));
    }

    /// Schedules an action that ends a fault.
    void end_after(duration delay, std::function<void()> action)
    {
        m_faults_end = std::max(m_faults_end, m_cluster.now() + delay);
        m_cluster.at(delay, std::move(action));
    }

    const std::string& any_owner() { return m_owners[below(m_owners.size())]; }

    void kill(const std::string& node, duration down)
    {
        if (!m_cluster.is_running(node))
            return;
        m_cluster.kill_node(node);
        start_after(node, down);
    }

    void start_after(const std::string& node, duration delay)
    {
        end_after(delay, [this, node] {
            if (!m_cluster.is_running(node))
                m_cluster.start_node(node);
            else if (m_cluster.state(node).m_stopping)
                start_after(node, milliseconds(500));
        });
    }

    /// Kills the process of a node shortly after its next table write or its next grant.
    void kill_after_effect(const std::string& node)
    {
        m_kill_after_write = below(2) == 0;
        m_kill_victim = node;
    }

    void watch(const std::string& node, const effect& done)
    {
        const bool wanted = m_kill_after_write ? std::holds_alternative<write_table>(done)
                                               : std::holds_alternative<grant_keys>(done);
        if (node != m_kill_victim || !wanted)
            return;
        m_kill_victim.clear();
        m_cluster.at(between(0, 30), [this, node] { kill(node, between(20, 600)); });
    }

    void stop(const std::string& node)
    {
        if (!m_cluster.is_running(node))
            return;
        m_cluster.stop_node(node);
        if (below(2) == 0)
            m_cluster.at(between(20, 4000), [this, node] { kill(node, between(20, 600)); });
        start_after(node, between(5600, 8000));
    }

    void evacuate()
    {
        std::set<std::string> zones;
        for (std::uint64_t i = below(3); i > 0; --i)
            zones.insert("zone-" + std::to_string(below(3)));
        m_cluster.evacuate(zones);
        if (below(2) == 0)
            end_after(between(50, 3000), [this] { m_cluster.evacuate({}); });
    }

    void cut_nodes(const std::string& node)
    {
        const bool all = below(3) == 0;
        const std::string other = any_owner();
        const auto each = [this, node, other, all](bool is_cut) {
            for (const auto& peer : m_cluster.nodes()) {
                if (peer != node && (all || peer == other))
                    m_cluster.cut(node, peer, is_cut);
            }
        };
        each(true);
        end_after(between(200, 9000), [each] { each(false); });
    }

    void cut_store(const std::string& node)
    {
        m_cluster.cut_store(node, true);
        end_after(between(300, 9000), [this, node] { m_cluster.cut_store(node, false); });
    }

    void restart_server(const std::string& node)
    {
        if (below(2) == 0) {
            const duration silence = between(300, 5000);
            m_cluster.drop_announcements(node, silence);
            end_after(silence, [] {});
        }
        if (below(3) == 0)
            m_cluster.delay_announcement(node, between(100, 4000));
        const duration down = below(2) == 0 ? duration::zero() : between(50, 2500);
        end_after(down, [] {});
        if (below(3) == 0)
            m_cluster.replace_backend(node, down);
        else
            m_cluster.restart_backend(node, down);
    }

    void freeze(const std::string& node)
    {
        const duration time = between(100, 5000);
        m_cluster.freeze_node(node, time);
        end_after(time, [] {});
    }

    void one_fault(const std::string& node)
    {
        switch (below(13)) {
        case 0:
            kill(node, between(20, 600));
            break;
        case 1:
            kill(node, between(600, 9000));
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
            cut_nodes(node);
            break;
        case 9:
            cut_store(node);
            break;
        case 10:
            if (below(2) == 0) {
                for (const auto& each : m_cluster.nodes())
                    cut_store(each);
            } else {
                m_cluster.reset_links(node);
            }
            break;
        case 11:
            freeze(node);
            break;
        default:
            m_hot_from = below(3) == 0 ? 65536 : below(50000);
        }
    }

    /// Stops injecting faults and waits until the current ones have ended.
    void end_faults()
    {
        m_kill_victim.clear();
        m_hot_from = 65536;
        m_cluster.delay_grants(0.0);
        m_cluster.delay_writes(0.0);
        m_cluster.lose_answers(0.0);
        m_cluster.evacuate({});
        end_after(longest_grant_delay, [] {});
        while (m_cluster.now() < m_faults_end)
            send_requests(milliseconds(100));
    }

    void send_requests(duration time)
    {
        const time_point end = m_cluster.now() + time;
        while (m_cluster.now() < end) {
            const std::string from = "orders-" + std::to_string(below(2));
            const bool hot = m_hot_from < 65536 && below(4) != 0;
            const auto key = hot ? m_hot_from + below(6000) : below(65536);
            m_cluster.send(from, "shelf", static_cast<std::uint32_t>(key));
            if (below(8) == 0)
                m_cluster.send(from, "orders");
            m_cluster.run_for(milliseconds(12));
        }
    }

    duration gap()
    {
        const std::uint64_t kind = below(10);
        return kind < 4 ? between(20, 120) : (kind < 9 ? between(100, 900) : between(900, 3000));
    }

    std::mt19937_64 m_random;
    sidecar_cluster m_cluster;
    std::vector<std::string> m_owners;
    time_point m_faults_end;
    std::string m_kill_victim;
    bool m_kill_after_write = false;
    std::uint64_t m_hot_from = 65536;
};

} // namespace

// Guards against two lease holders of a key, double executions and false refusals during series of
// faults of servers, nodes, connections and the store, and against keys that stay unserved
// afterwards.
TEST_P(ownership_faults, each_key_has_one_holder_and_is_served_again)
{
    m_cluster.run_for(settling);
    m_cluster.lose_answers(0.02);
    m_cluster.check_tokens();
    m_cluster.delay_grants(0.1 + 0.1 * static_cast<double>(GetParam() % 6));
    m_cluster.observe([this](const auto& node, const auto& done) { watch(node, done); });
    std::string victim = any_owner();
    for (int round = 0; round < rounds; ++round) {
        const bool timely = round >= rounds - rounds_with_timely_writes || GetParam() % 4 == 0;
        m_cluster.delay_writes(timely ? 0.0 : 0.4);
        if (!timely)
            end_after(longest_write_delay, [] {});
        // Most faults affect the same node as the previous fault.
        if (below(3) == 0)
            victim = any_owner();
        one_fault(victim);
        send_requests(gap());
        ASSERT_TRUE(m_cluster.violations().empty())
            << "round " << round << ": " << m_cluster.violations().front();
    }
    end_faults();
    send_requests(recovery_bound());
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

INSTANTIATE_TEST_SUITE_P(seeds, ownership_faults, testing::ValuesIn(fault_seeds(failed_seeds)));

} // namespace azureladder::sidecar
