#include "cluster_scenarios.hpp"

#include <azureladder/core/ownership.hpp>

namespace azureladder::core::testing {

// Guards against a single node that waits for witnesses, which cannot exist.
TEST(ownership_cluster, single_node_serves_all_slices)
{
    cluster_harness cluster(1);
    cluster.apply(json::array({divided_service("orders", 12)}));
    cluster.add_node("a1", "zone-a", "orders");
    cluster.start_all();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(10)));
    expect_no_violations(cluster);
}

// Guards against slices that remain without an owner when several nodes join at once.
TEST(ownership_cluster, three_nodes_serve_all_slices)
{
    cluster_harness cluster(2);
    cluster.apply(json::array({divided_service("orders", 12)}));
    for (const std::string zone : {"a", "b", "c"})
        cluster.add_node(zone + "1", "zone-" + zone, "orders");
    cluster.start_all();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(20)));
    expect_no_violations(cluster);
}

// Guards against endless moves and against nodes without slices.
TEST(ownership_cluster, slices_spread_over_all_nodes)
{
    cluster_harness cluster(4);
    start_balanced(cluster);
    EXPECT_TRUE(cluster.all_served());
    for (const auto& name : cluster.names()) {
        EXPECT_GT(cluster.served_slice_count(name), 0U) << name;
        EXPECT_LE(cluster.served_slice_count(name), 17U)
            << name; // ceil(1.25 * 64 / 6) + ceil(1.25 * 12 / 6)
        const auto& plan = cluster.node(name).m_state.m_ownership.m_plan;
        EXPECT_EQ(plan.m_witnesses.size(), 3U) << name;
        EXPECT_EQ(plan.m_standbys.size(), 2U) << name;
        EXPECT_TRUE(plan.m_previous_witnesses.empty()) << name;
    }
    const auto plans = cluster.m_events_logged["plan_written"];
    cluster.run_for(seconds(30));
    EXPECT_EQ(cluster.m_events_logged["plan_written"], plans)
        << "plans of a balanced cluster must not change";
    expect_no_violations(cluster);
}

// Guards against a takeover that depends on the store; the target is at most 1 s of unavailability.
TEST(ownership_cluster, standby_serves_within_a_second_while_the_store_is_down)
{
    cluster_harness cluster(3);
    start_balanced(cluster);
    cluster.m_store.m_down = true;
    cluster.run_for(seconds(2));
    ASSERT_GT(cluster.served_slice_count("b1"), 0U);
    cluster.kill("b1");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(1)));
    expect_no_violations(cluster);
}

// Guards against a new owner that serves while a backend server without fencing still executes a
// request of the former owner.
TEST(ownership_cluster, takeover_waits_for_executions_when_fencing_is_ignored)
{
    cluster_harness cluster(5);
    add_six_nodes(cluster, fencing::ignored);
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(20)));
    cluster.run_for(seconds(60));
    const slice_id slice{"orders", 3};
    const auto owner = cluster.serving_node(slice);
    ASSERT_FALSE(owner.empty());
    cluster.kill(owner);
    const auto killed = cluster.now();
    EXPECT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(2)));
    // At least 400 ms of lease left at the kill, 200 ms of execution and 100 ms of send delay.
    EXPECT_GE(cluster.now() - killed, milliseconds(700));
    expect_no_violations(cluster);
}

// Guards against a store outage that changes an owner or leaves a slice unserved.
TEST(ownership_cluster, store_outage_alone_changes_no_owner)
{
    cluster_harness cluster(6);
    start_balanced(cluster);
    const auto started = cluster.m_events_logged["ownership_started"];
    cluster.m_store.m_down = true;
    for (int second = 0; second < 60; ++second) {
        cluster.run_for(seconds(1));
        EXPECT_TRUE(cluster.all_served());
    }
    EXPECT_EQ(cluster.m_events_logged["ownership_started"], started);
    cluster.m_store.m_down = false;
    cluster.run_for(seconds(20));
    EXPECT_EQ(cluster.m_events_logged["ownership_started"], started);
    expect_no_violations(cluster);
}

// Guards against an owner that serves again after a pause during which its slices were taken over.
TEST(ownership_cluster, paused_owner_joins_again)
{
    cluster_harness cluster(7);
    start_balanced(cluster);
    const auto before = self(cluster.node("a1").m_state);
    cluster.pause("a1", seconds(10));
    EXPECT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(2)));
    cluster.run_for(seconds(60));
    EXPECT_NE(self(cluster.node("a1").m_state).m_incarnation, before.m_incarnation);
    EXPECT_GT(cluster.served_slice_count("a1"), 0U);
    EXPECT_TRUE(cluster.all_served());
    expect_no_violations(cluster);
}

// Guards against an audit that uses the time of the log line as the end of ownership: the lease of
// a paused owner ends long before the process resumes and writes the line.
TEST(ownership_cluster, end_of_ownership_is_logged_with_the_lease_end)
{
    cluster_harness cluster(7);
    start_balanced(cluster);
    const auto& node = cluster.node("a1");
    for (const auto pause : {seconds(2), seconds(10)}) {
        ASSERT_TRUE(
            cluster.run_until([&] { return cluster.served_slice_count("a1") > 0; }, seconds(60)));
        const auto end = lease_end(node.m_state);
        cluster.m_log.clear();
        cluster.m_record_log = true;
        cluster.pause("a1", pause);
        cluster.run_for(pause + seconds(1));
        const auto stated = "\"effective_mono_us\":" + std::to_string(to_us(end)) + ",";
        std::size_t ended = 0;
        for (const auto& line : cluster.m_log) {
            if (line.find(" a1 ownership_ended ") == std::string::npos)
                continue;
            ++ended;
            EXPECT_NE(line.find(stated), std::string::npos) << line;
        }
        EXPECT_GT(ended, 0U);
    }
}

// Guards against a plan with one witness, whose loss leaves the slices without an owner
// permanently. A partitioned node considered all nodes unresponsive except one that it had sent no
// requests to.
TEST(ownership_cluster, node_joins_with_all_witnesses_after_a_partition)
{
    cluster_harness cluster(129);
    start_balanced(cluster);
    const auto before = self(cluster.node("c2").m_state);
    cluster.set_isolated("c2", true);
    cluster.run_for(seconds(3));
    cluster.set_isolated("c2", false);
    const auto joined_again = [&] {
        const auto& state = cluster.node("c2").m_state;
        return self(state) != before && is_plan_written(state);
    };
    ASSERT_TRUE(cluster.run_until(joined_again, seconds(10)));
    EXPECT_EQ(cluster.node("c2").m_state.m_ownership.m_plan.m_witnesses.size(), 3U);
    EXPECT_EQ(cluster.node("c2").m_state.m_ownership.m_plan.m_standbys.size(), 2U);
}

// Guards against a zone that keeps slices after it was taken out of service, and against one that
// gets no slices after its return.
TEST(ownership_cluster, zone_out_moves_all_slices)
{
    cluster_harness cluster(8);
    start_balanced(cluster);
    cluster.apply(json::array({zone_state("zone-a", "out")}));
    cluster.run_for(seconds(3));
    EXPECT_EQ(cluster.served_slice_count("a1"), 0U);
    EXPECT_EQ(cluster.served_slice_count("a2"), 0U);
    // A slice may be in transit for balancing at any time.
    EXPECT_TRUE(all_served_within(cluster, milliseconds(200)))
        << cluster.describe_unserved_slices();
    EXPECT_EQ(cluster.m_events_logged["takeover"], 0U);
    cluster.apply(json::array({zone_state("zone-a", "in")}));
    cluster.run_for(seconds(60));
    EXPECT_GT(cluster.served_slice_count("a1"), 0U);
    EXPECT_TRUE(all_served_within(cluster, milliseconds(200)))
        << cluster.describe_unserved_slices();
    expect_no_violations(cluster);
}

// Guards against a zone out of service that releases its slices only by balancing moves, which do
// not take place while the store is unavailable.
TEST(ownership_cluster, zone_out_releases_slices_while_the_store_is_down)
{
    cluster_harness cluster(8);
    start_balanced(cluster);
    ASSERT_GT(cluster.served_slice_count("a1") + cluster.served_slice_count("a2"), 0U);
    cluster.apply(json::array({zone_state("zone-a", "out")}));
    const auto is_out = [&](const std::string& name) {
        return !records::zone_in_service(cluster.node(name).m_state.m_configuration.m_document,
                                         "zone-a");
    };
    ASSERT_TRUE(cluster.run_until([&] { return is_out("a1") || is_out("a2"); }, seconds(5)));
    cluster.m_store.m_down = true;
    cluster.run_for(seconds(3));
    EXPECT_EQ(cluster.served_slice_count("a1"), 0U);
    EXPECT_EQ(cluster.served_slice_count("a2"), 0U);
    EXPECT_TRUE(all_served_within(cluster, milliseconds(200)))
        << cluster.describe_unserved_slices();
    EXPECT_EQ(cluster.m_events_logged["takeover"], 0U);
    expect_no_violations(cluster);
}

// Guards against a planned stop that waits for a receiver of its slices when no other node is
// known.
TEST(ownership_cluster, single_node_stops_without_waiting)
{
    cluster_harness cluster(12);
    cluster.apply(json::array({divided_service("orders", 12)}));
    cluster.add_node("a1", "zone-a", "orders");
    cluster.start_all();
    ASSERT_TRUE(all_served_within(cluster, seconds(20)));
    cluster.stop("a1");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.node("a1").m_finished; }, seconds(2)));
}

// Guards against a cluster of three nodes in which the loss of one ends the leases of the others.
TEST(ownership_cluster, three_nodes_tolerate_the_loss_of_one)
{
    cluster_harness cluster(10);
    cluster.apply(json::array({divided_service("orders", 12)}));
    for (const std::string zone : {"a", "b", "c"})
        cluster.add_node(zone + "1", "zone-" + zone, "orders");
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(20)));
    cluster.run_for(seconds(30));
    cluster.kill("c1");
    EXPECT_TRUE(all_served_within(cluster, seconds(1))) << cluster.describe_unserved_slices();
    cluster.run_for(seconds(10));
    EXPECT_TRUE(all_served_within(cluster, milliseconds(200)))
        << cluster.describe_unserved_slices();
    cluster.start("c1");
    cluster.run_for(seconds(40));
    EXPECT_GT(cluster.served_slice_count("c1"), 0U);
    expect_no_violations(cluster);
}

namespace {

void restart_all_nodes(std::size_t nodes)
{
    cluster_harness cluster(11 + nodes);
    cluster.apply(json::array({divided_service("orders", 12)}));
    for (std::size_t i = 0; i < nodes; ++i)
        cluster.add_node("n" + std::to_string(i), "zone-" + std::to_string(i), "orders");
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(20)));
    cluster.run_for(seconds(10));
    for (const auto& name : cluster.names())
        cluster.kill(name);
    cluster.run_for(seconds(2));
    cluster.start_all();
    EXPECT_TRUE(all_served_within(cluster, seconds(60))) << cluster.describe_unserved_slices();
    expect_no_violations(cluster);
}

} // namespace

// Guards against slices that remain assigned to lost processes after all nodes were restarted at
// once.
TEST(ownership_cluster, restart_of_one_node)
{
    restart_all_nodes(1);
}

TEST(ownership_cluster, restart_of_two_nodes)
{
    restart_all_nodes(2);
}

TEST(ownership_cluster, restart_of_three_nodes)
{
    restart_all_nodes(3);
}

// Guards against a planned stop that does not release its slices, with the store available or not.
TEST(ownership_cluster, planned_stop_releases)
{
    for (const bool down : {false, true}) {
        cluster_harness cluster(9);
        start_balanced(cluster);
        cluster.m_store.m_down = down;
        cluster.stop("c1");
        EXPECT_TRUE(cluster.run_until([&] { return cluster.node("c1").m_finished; }, seconds(5)));
        cluster.run_for(milliseconds(100));
        EXPECT_TRUE(cluster.all_served());
        EXPECT_EQ(cluster.m_events_logged["takeover"], 0U);
        EXPECT_EQ(cluster.m_events_logged["stop_without_release"], 0U);
        expect_no_violations(cluster);
    }
}

} // namespace azureladder::core::testing
