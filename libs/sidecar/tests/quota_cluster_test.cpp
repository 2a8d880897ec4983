#include "sidecar_cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace azureladder::sidecar {

namespace {

constexpr std::size_t node_count = 16;
constexpr routing::quota_limit large_limit{60.0, 60.0};
constexpr routing::quota_limit small_limit{2.0, 2.0};

/// A cluster whose organisation "large" sends several times its quota for seconds, while four small
/// ones send 1 / 1.6 of theirs.
class quota_cluster
{
public:
    explicit quota_cluster(std::uint64_t seed) : m_cluster(make_shape(seed)), m_random(seed)
    {
        m_cluster.observe([this](const std::string& /*node*/, const effect& done) {
            if (const auto* started = std::get_if<start_execution>(&done))
                m_executed[started->m_request->m_organisation].push_back(m_cluster.now());
        });
        m_cluster.run_for(seconds(8));
        // Fills the bucket of "large", so that a surge can use the whole burst.
        send_for(seconds(1), large_limit.m_rate_per_s / 1.6);
        m_cluster.run_for(seconds(2));
    }

    sidecar_cluster& cluster() { return m_cluster; }

    /// Node that counts for the organisation "large".
    std::string counting_node() const
    {
        return counting_node_of(m_cluster.state("orders-0"), "large");
    }

    /// Sends traffic for some time; small organisations use all nodes except `unused`.
    void send_for(duration time, double large_rate, const std::string& unused = {})
    {
        const time_point end = m_cluster.now() + time;
        const auto nodes = m_cluster.nodes();
        std::exponential_distribution<double> small_gap(4 * small_limit.m_rate_per_s / 1.6);
        double next_small = small_gap(m_random);
        double sent_large = 0.0;
        for (double elapsed = 0.0; m_cluster.now() < end; elapsed += 0.01) {
            for (; sent_large < elapsed * large_rate; sent_large += 1.0)
                send(nodes[m_random() % nodes.size()], "large");
            for (; next_small < elapsed; next_small += small_gap(m_random)) {
                std::string node = nodes[m_random() % nodes.size()];
                while (node == unused)
                    node = nodes[m_random() % nodes.size()];
                send(node, "small-" + std::to_string(m_random() % 4));
            }
            m_cluster.run_for(milliseconds(10));
        }
    }

    /// Divides the network between some nodes and all others, or ends this.
    void partition(const std::vector<std::string>& part, bool is_partitioned)
    {
        for (const auto& node : m_cluster.nodes()) {
            if (std::find(part.begin(), part.end(), node) != part.end())
                continue;
            for (const auto& other : part)
                m_cluster.partition(node, other, is_partitioned);
        }
    }

    /// Largest number of executions of an organisation from `from` on in any window of 5 s.
    std::size_t most_in_window(const std::string& organisation, time_point from = {})
    {
        auto& times = m_executed[organisation];
        std::size_t most = 0;
        for (auto it = times.begin(); it != times.end(); ++it) {
            const auto end = std::lower_bound(it, times.end(), *it + seconds(5));
            if (*it >= from)
                most = std::max(most, static_cast<std::size_t>(end - it));
        }
        return most;
    }

    static double permitted(const routing::quota_limit& limit)
    {
        return (limit.m_rate_per_s * 5.0 + limit.m_burst) * 1.1 + 20.0;
    }

    void expect_limits_held()
    {
        EXPECT_LE(static_cast<double>(most_in_window("large")), permitted(large_limit));
        for (int i = 0; i < 4; ++i)
            EXPECT_LE(static_cast<double>(most_in_window("small-" + std::to_string(i))),
                      permitted(small_limit));
        EXPECT_TRUE(m_cluster.violations().empty()) << m_cluster.violations().front();
    }

    /// Number of requests of small organisations with a status.
    std::size_t small_responses(int status) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_sent.begin(), m_sent.end(), [&](const auto& request) {
                return request.second != "large" && m_cluster.status(request.first) == status;
            }));
    }

private:
    static sidecar_cluster::shape make_shape(std::uint64_t seed)
    {
        sidecar_cluster::shape shape;
        shape.m_unsharded_servers = node_count;
        shape.m_sharded_servers = 0;
        shape.m_seed = seed;
        shape.m_organisations["large"] = large_limit;
        for (int i = 0; i < 4; ++i)
            shape.m_organisations["small-" + std::to_string(i)] = small_limit;
        return shape;
    }

    static std::string counting_node_of(const node_state& state, const std::string& organisation)
    {
        std::string first = state.m_options.m_node;
        const auto weight = [&](const std::string& node) {
            return routing::counting_weight(organisation, node);
        };
        for (const auto& [node, peer] : state.m_peers) {
            if (weight(node) > weight(first))
                first = node;
        }
        return first;
    }

    void send(const std::string& node, const std::string& organisation)
    {
        if (m_cluster.is_running(node))
            m_sent.emplace_back(m_cluster.send_with_key(node, organisation), organisation);
    }

    sidecar_cluster m_cluster;
    std::mt19937_64 m_random;
    std::map<std::string, std::vector<time_point>> m_executed;
    std::vector<std::pair<std::string, std::string>> m_sent;
};

class quota_cluster_test : public testing::TestWithParam<std::uint64_t>
{
};

INSTANTIATE_TEST_SUITE_P(seeds, quota_cluster_test, testing::Range<std::uint64_t>(1, 6));

} // namespace

// Guards against fixed shares of each node: a small organisation would be refused within its quota,
// and a large one served beyond it.
TEST_P(quota_cluster_test, holds_the_limit_over_all_nodes_and_serves_small_organisations)
{
    quota_cluster run(GetParam());
    run.send_for(seconds(6), large_limit.m_rate_per_s / 1.6);
    run.send_for(seconds(8), large_limit.m_rate_per_s * 3);
    run.send_for(seconds(4), large_limit.m_rate_per_s / 1.6);
    run.cluster().run_for(seconds(3));
    run.expect_limits_held();
    EXPECT_GT(run.most_in_window("large"), 5 * large_limit.m_rate_per_s * 0.9);
    EXPECT_EQ(run.small_responses(429) + run.small_responses(503), 0U);
}

// Guards against a second full bucket beside that of an isolated counting node, and against one
// that was filled meanwhile.
TEST_P(quota_cluster_test, holds_the_limit_while_the_counting_node_is_isolated)
{
    quota_cluster run(GetParam());
    const std::string isolated = run.counting_node();
    run.send_for(milliseconds(500), large_limit.m_rate_per_s * 5);
    run.partition({isolated}, true);
    run.send_for(seconds(2), large_limit.m_rate_per_s * 5, isolated);
    run.partition({isolated}, false);
    run.send_for(seconds(6), large_limit.m_rate_per_s * 5, isolated);
    run.cluster().run_for(seconds(3));
    run.expect_limits_held();
}

// Guards against two parts of a divided network that each count the whole limit.
TEST_P(quota_cluster_test, holds_the_limit_while_the_network_is_divided)
{
    quota_cluster run(GetParam());
    run.partition({"orders-0", "orders-3", "orders-6", "orders-9", "orders-12"}, true);
    run.send_for(seconds(12), large_limit.m_rate_per_s * 3);
    run.cluster().run_for(seconds(3));
    run.expect_limits_held();
    EXPECT_GT(run.most_in_window("large"), 5 * large_limit.m_rate_per_s * 0.6);
}

// Guards against a restarted counting node that grants the burst again, and against two nodes that
// count while the new process connects.
TEST_P(quota_cluster_test, holds_the_limit_while_the_counting_node_restarts)
{
    quota_cluster run(GetParam());
    const std::string restarted = run.counting_node();
    run.send_for(milliseconds(500), large_limit.m_rate_per_s * 5);
    run.cluster().kill_node(restarted);
    run.send_for(milliseconds(1500), large_limit.m_rate_per_s * 5, restarted);
    run.cluster().start_node(restarted);
    run.send_for(seconds(10), large_limit.m_rate_per_s * 5, restarted);
    run.cluster().run_for(seconds(3));
    run.expect_limits_held();
    EXPECT_EQ(run.small_responses(429) + run.small_responses(503), 0U);
}

// Guards against a counting node that stood still and then grants the tokens of this time as well
// as the node that counted meanwhile.
TEST_P(quota_cluster_test, holds_the_limit_while_the_counting_node_is_frozen)
{
    quota_cluster run(GetParam());
    const std::string frozen = run.counting_node();
    run.send_for(milliseconds(500), large_limit.m_rate_per_s * 5);
    run.cluster().freeze_node(frozen, milliseconds(2500));
    run.send_for(seconds(8), large_limit.m_rate_per_s * 5, frozen);
    run.cluster().run_for(seconds(3));
    run.expect_limits_held();
}

// Guards against many nodes that each count while their processes connect to each other.
TEST_P(quota_cluster_test, holds_the_limit_after_a_power_loss)
{
    quota_cluster run(GetParam());
    run.send_for(milliseconds(500), large_limit.m_rate_per_s * 5);
    for (const auto& node : run.cluster().nodes())
        run.cluster().kill_node(node);
    run.cluster().run_for(seconds(1));
    for (const auto& node : run.cluster().nodes()) {
        run.cluster().start_node(node);
        run.send_for(milliseconds(50), large_limit.m_rate_per_s * 5);
    }
    run.send_for(seconds(8), large_limit.m_rate_per_s * 5);
    run.cluster().run_for(seconds(3));
    run.expect_limits_held();
}

// Guards against tokens of a former limit that are granted after the limit was lowered.
TEST_P(quota_cluster_test, holds_a_lowered_limit_one_window_after_all_nodes_have_it)
{
    quota_cluster run(GetParam());
    const routing::quota_limit lowered{10.0, 10.0};
    run.send_for(seconds(3), large_limit.m_rate_per_s / 1.6);
    run.cluster().set_limit("large", lowered);
    run.cluster().run_for(milliseconds(100));
    const time_point is_binding = run.cluster().now() + seconds(5);
    run.send_for(seconds(14), large_limit.m_rate_per_s);
    run.cluster().run_for(seconds(3));
    EXPECT_LE(static_cast<double>(run.most_in_window("large", is_binding)),
              quota_cluster::permitted(lowered));
    EXPECT_GT(run.most_in_window("large", is_binding), 40U);
}

} // namespace azureladder::sidecar
