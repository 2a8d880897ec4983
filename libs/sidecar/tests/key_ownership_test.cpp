#include "sidecar_cluster.hpp"

#include <gtest/gtest.h>

namespace azureladder::sidecar {

namespace {

/// Time for a new cluster to create its table and grant all keys.
constexpr duration startup_time = seconds(8);

/// Longest time between the restart of a server and its next announcement.
constexpr duration max_announcement_delay = milliseconds(900);

/// Number of seeds of each scenario. The seed changes the timing of grants, announcements and
/// faults.
constexpr std::uint64_t seed_count = 40;

/// Sends requests with keys from all ranges for the given time.
void send_keyed_requests(sidecar_cluster& cluster, duration time)
{
    const time_point end = cluster.now() + time;
    for (std::uint32_t i = 0; cluster.now() < end; ++i) {
        cluster.send("orders-0", "shelf", i * 1009 % 65536);
        cluster.run_for(milliseconds(10));
    }
}

} // namespace

// Guards against a restarted server that accepts a renewal with the fencing token of its previous
// incarnation.
TEST(key_ownership, restarted_server_accepts_no_token_of_its_previous_incarnation)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        sidecar_cluster cluster({1, 3, seed});
        cluster.check_tokens();
        cluster.run_for(startup_time);
        for (const char* node : {"shelf-0", "shelf-1", "shelf-2"}) {
            cluster.restart_backend(node, milliseconds(300 + seed * 37 % 400));
            send_keyed_requests(cluster, milliseconds(1500));
        }
        ASSERT_TRUE(cluster.violations().empty()) << seed << ": " << cluster.violations().front();
    }
}

// Guards against transferring a range of a restarted server while a grant to its previous
// incarnation may still be applied.
TEST(key_ownership, late_grant_to_a_restarted_server_gives_no_key_two_lease_holders)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        sidecar_cluster cluster({1, 4, seed});
        cluster.run_for(startup_time);
        cluster.delay_grants(0.5);
        send_keyed_requests(cluster, milliseconds(1000));
        cluster.backend("shelf-1").restart(cluster.now());
        send_keyed_requests(cluster, max_announcement_delay);
        cluster.stop_node("shelf-1");
        send_keyed_requests(cluster, seconds(4));
        ASSERT_TRUE(cluster.violations().empty()) << seed << ": " << cluster.violations().front();
    }
}

// Guards against transferring a range of a restarted node while a grant sent by its previous
// process may still be applied.
TEST(key_ownership, late_grant_of_a_killed_process_gives_no_key_two_lease_holders)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        sidecar_cluster cluster({1, 4, seed});
        cluster.run_for(startup_time);
        cluster.delay_grants(0.5);
        send_keyed_requests(cluster, milliseconds(1000));
        cluster.kill_node("shelf-1");
        cluster.start_node("shelf-1");
        send_keyed_requests(cluster, max_announcement_delay);
        cluster.stop_node("shelf-1");
        send_keyed_requests(cluster, seconds(4));
        ASSERT_TRUE(cluster.violations().empty()) << seed << ": " << cluster.violations().front();
    }
}

// Guards against a transfer that the store applies late, after the process that wrote it was
// replaced and the next process has granted the range again.
TEST(key_ownership, late_transfer_of_a_killed_process_gives_no_key_two_lease_holders)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        sidecar_cluster cluster({1, 4, seed});
        cluster.run_for(startup_time);
        cluster.delay_writes(0.7);
        cluster.stop_node("shelf-1");
        send_keyed_requests(cluster, milliseconds(300));
        cluster.kill_node("shelf-1");
        cluster.start_node("shelf-1");
        send_keyed_requests(cluster, seconds(8));
        ASSERT_TRUE(cluster.violations().empty()) << seed << ": " << cluster.violations().front();
    }
}

// Guards against a response to a ping sent before a pause of the process that confirms the table
// for the time after the pause.
TEST(key_ownership, response_to_a_ping_before_a_pause_confirms_no_table)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        sidecar_cluster cluster({1, 4, seed});
        cluster.run_for(startup_time);
        const auto has_pending_ping = [&] {
            for (const auto& [node, peer] : cluster.state("shelf-1").m_peers) {
                if (peer.m_ping_pending && peer.m_status.m_service == "shelf")
                    return true;
            }
            return false;
        };
        while (!has_pending_ping())
            cluster.run_for(milliseconds(1));
        // The responses arrive after the first tick that detects the pause.
        for (const char* peer : {"shelf-0", "shelf-2", "shelf-3"})
            cluster.freeze_node(peer, milliseconds(40));
        // Longer than the takeover of a lost owner's ranges takes.
        cluster.freeze_node("shelf-1", seconds(16));
        cluster.run_for(seconds(20));
        EXPECT_TRUE(cluster.violations().empty()) << seed << ": " << cluster.violations().front();
    }
}

// Guards against a slow server that keeps its keys while its utilization is below 0.7: its requests
// take half of the time to their target, those on other servers a fifteenth.
TEST(key_ownership, slow_server_gives_keys_away_below_full_utilization)
{
    sidecar_cluster cluster({1, 4, 3});
    cluster.set_execution_time("shelf-1", milliseconds(550));
    cluster.run_for(startup_time);
    const auto send_evenly = [&](int count) {
        for (int i = 0; i < count; ++i) {
            cluster.send("orders-0", "shelf", static_cast<std::uint32_t>(i * 20231 % 65536));
            cluster.run_for(milliseconds(60));
        }
    };
    send_evenly(250);
    const std::size_t before = cluster.backend("shelf-1").m_executed.size();
    send_evenly(100);
    EXPECT_LT(cluster.backend("shelf-1").m_executed.size() - before, 15U);
    EXPECT_TRUE(cluster.violations().empty()) << cluster.violations().front();
}

// Guards against a new process that receives from a peer an older table than the one written by the
// previous process, and grants keys which the previous process has transferred.
TEST(key_ownership, older_table_of_a_peer_gives_no_key_two_lease_holders)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        sidecar_cluster cluster({1, 4, seed});
        cluster.run_for(startup_time);
        const std::uint64_t revision = cluster.store().revision();
        cluster.stop_node("shelf-1");
        for (int i = 0; i < 200 && cluster.store().revision() == revision; ++i)
            cluster.run_for(milliseconds(1));
        ASSERT_GT(cluster.store().revision(), revision);
        // Killed before the response to the write: only the store has the new table.
        cluster.kill_node("shelf-1");
        cluster.partition_store("shelf-1", true);
        cluster.start_node("shelf-1");
        send_keyed_requests(cluster, seconds(6));
        ASSERT_TRUE(cluster.violations().empty()) << seed << ": " << cluster.violations().front();
    }
}

} // namespace azureladder::sidecar
