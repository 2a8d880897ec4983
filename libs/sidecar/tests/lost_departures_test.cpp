#include "sidecar_cluster.hpp"

#include <gtest/gtest.h>

namespace azureladder::sidecar {

namespace {

constexpr duration startup_time = seconds(8);

/// All processes of a cluster end after a departure that could not be stored. The parameter is the
/// seed of the cluster.
class lost_departures : public testing::TestWithParam<std::uint64_t>
{
protected:
    /// Sends a request every 50 ms for a time to the node whose server is concerned, which prefers
    /// its own zone. Returns the number of those with status 200.
    int succeeded_requests(duration time)
    {
        std::vector<std::string> sent;
        for (const time_point end = m_cluster.now() + time; m_cluster.now() < end;) {
            sent.push_back(m_cluster.send("orders-2", "orders"));
            m_cluster.run_for(milliseconds(50));
        }
        m_cluster.run_for(seconds(2));
        int result = 0;
        for (const auto& id : sent)
            result += m_cluster.status(id) == 200 ? 1 : 0;
        return result;
    }

    void for_all_nodes(const std::function<void(const std::string&)>& action)
    {
        for (const auto& node : m_cluster.nodes())
            action(node);
    }

    sidecar_cluster m_cluster{{3, 0, GetParam()}};
};

} // namespace

// Guards against requests to a server that has left: its departure was acknowledged while no node
// reached the store, all processes were killed, and its last announcements arrive late.
TEST_P(lost_departures, bind_the_next_processes)
{
    fake_backend& server = m_cluster.backend("orders-2");
    m_cluster.run_for(startup_time);
    for_all_nodes([&](const auto& node) { m_cluster.partition_store(node, true); });
    for (const int delay_ms : {2500, 4000, 6000, 8000})
        m_cluster.delay_announcement("orders-2", milliseconds(delay_ms));
    server.m_draining = true;
    m_cluster.run_for(seconds(2));
    EXPECT_TRUE(m_cluster.state("orders-2").m_pending_acknowledgements.empty());
    for_all_nodes([&](const auto& node) { m_cluster.kill_node(node); });
    m_cluster.drop_announcements("orders-2", seconds(20));
    const auto executed = server.m_executed.size();
    for_all_nodes([&](const auto& node) {
        m_cluster.partition_store(node, false);
        m_cluster.start_node(node);
    });
    m_cluster.run_for(seconds(1));
    // The other two servers are used again at once.
    EXPECT_EQ(succeeded_requests(seconds(8)), 160);
    EXPECT_EQ(server.m_executed.size(), executed);
    EXPECT_TRUE(m_cluster.violations().empty()) << m_cluster.violations().front();
}

// Guards against a healthy server that loses its work because all processes have ended and its
// announcements are late.
TEST_P(lost_departures, spare_a_server_that_stays)
{
    fake_backend& server = m_cluster.backend("orders-2");
    m_cluster.run_for(startup_time);
    for (const int delay_ms : {700, 4000, 6000, 8000})
        m_cluster.delay_announcement("orders-2", milliseconds(delay_ms));
    for_all_nodes([&](const auto& node) { m_cluster.kill_node(node); });
    m_cluster.drop_announcements("orders-2", seconds(20));
    for_all_nodes([&](const auto& node) { m_cluster.start_node(node); });
    m_cluster.run_for(seconds(1));
    const auto executed = server.m_executed.size();
    EXPECT_EQ(succeeded_requests(seconds(8)), 160);
    EXPECT_GT(server.m_executed.size() - executed, 30U);
}

INSTANTIATE_TEST_SUITE_P(seeds, lost_departures,
                         testing::Range(std::uint64_t{1}, std::uint64_t{6}));

} // namespace azureladder::sidecar
