#include "cluster_fixture.hpp"

#include <chrono>
#include <csignal>
#include <set>
#include <thread>

namespace azureladder::integration {
namespace {

using deployment::wait_until;

constexpr milliseconds recovery_limit{15'000};
constexpr const char* key = "k1";
constexpr const char* entry = "n-bookings-a";

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Incarnation, slice and epoch in a log line on the start or end of ownership.
json owned_slice_of(const json& line)
{
    return {line.at("incarnation"), line.at("space"), line.at("slice"), line.at("epoch")};
}

// Guards against slices without an owner, or with two owners, after their owner is killed.
TEST_F(cluster_fixture, owner_killed)
{
    ASSERT_NO_FATAL_FAILURE(start());
    start_load(6);
    pause(seconds(2));
    const auto owner = owner_of(entry, key);
    ASSERT_FALSE(owner.empty());
    test_cluster().router(owner).send_signal(SIGKILL);
    test_cluster().backend(owner).send_signal(SIGKILL);
    EXPECT_TRUE(wait_until([&] { return served(entry, key); }, recovery_limit));
    EXPECT_NE(owner_of(entry, key), owner);
    finish_load();
    expect_clean_audit();
}

// Guards against an owner that continues to serve after a pause in which its slices were taken
// over.
TEST_F(cluster_fixture, owner_paused_and_resumed)
{
    ASSERT_NO_FATAL_FAILURE(start());
    start_load(8);
    pause(seconds(1));
    const auto owner = owner_of(entry, key);
    test_cluster().router(owner).send_signal(SIGSTOP);
    EXPECT_TRUE(wait_until([&] { return served(entry, key); }, recovery_limit));
    pause(seconds(2));
    test_cluster().router(owner).send_signal(SIGCONT);
    finish_load();
    EXPECT_TRUE(wait_until([&] { return test_cluster().ready(owner); }, recovery_limit));
    expect_clean_audit();
}

// Guards against log lines that end slices of an incarnation that never owned them: after a pause
// of more than 4 s the process takes a new incarnation and ends the slices of the former one.
TEST_F(cluster_fixture, owner_paused_until_it_takes_a_new_incarnation)
{
    ASSERT_NO_FATAL_FAILURE(start());
    const auto owner = owner_of(entry, key);
    test_cluster().router(owner).send_signal(SIGSTOP);
    pause(seconds(5));
    test_cluster().router(owner).send_signal(SIGCONT);
    EXPECT_TRUE(
        wait_until([&] { return log_lines(owner, "node_started").size() == 2; }, recovery_limit));
    std::set<json> started;
    for (const auto& line : log_lines(owner, "ownership_started"))
        started.insert(owned_slice_of(line));
    const auto ended = log_lines(owner, "ownership_ended");
    EXPECT_FALSE(ended.empty());
    for (const auto& line : ended)
        EXPECT_EQ(started.count(owned_slice_of(line)), 1U) << line.dump();
    expect_clean_audit();
}

// Guards against a service that depends on the platform store while nothing else fails.
TEST_F(cluster_fixture, store_down_for_longer_than_every_lease)
{
    ASSERT_NO_FATAL_FAILURE(start());
    ASSERT_TRUE(test_cluster().control_store({{"down", true}}));
    start_load(5);
    const auto report = finish_load();
    EXPECT_EQ(failures(report), 0U) << report.dump(2);
    ASSERT_TRUE(test_cluster().control_store({{"down", false}}));
    expect_clean_audit();
}

// Guards against a takeover that needs the platform store.
TEST_F(cluster_fixture, owner_killed_while_store_is_down)
{
    ASSERT_NO_FATAL_FAILURE(start());
    const auto owner = owner_of(entry, key);
    ASSERT_TRUE(test_cluster().control_store({{"down", true}}));
    start_load(6);
    pause(seconds(2));
    test_cluster().router(owner).send_signal(SIGKILL);
    test_cluster().backend(owner).send_signal(SIGKILL);
    EXPECT_TRUE(wait_until([&] { return served(entry, key); }, recovery_limit));
    finish_load();
    ASSERT_TRUE(test_cluster().control_store({{"down", false}}));
    expect_clean_audit();
}

// Guards against a graceful stop that aborts requests or leaves slices without an owner.
TEST_F(cluster_fixture, planned_stop_of_an_owner)
{
    ASSERT_NO_FATAL_FAILURE(start());
    const auto owner = owner_of(entry, key);
    start_load(6);
    pause(seconds(2));
    test_cluster().router(owner).send_signal(SIGTERM);
    EXPECT_EQ(test_cluster().router(owner).wait(), 0);
    EXPECT_TRUE(wait_until([&] { return served(entry, key); }, recovery_limit));
    const auto report = finish_load();
    EXPECT_EQ(count(report, "connection_lost"), 0U) << report.dump(2);
    EXPECT_EQ(count(report, "truncated"), 0U) << report.dump(2);
    expect_clean_audit();
}

} // namespace
} // namespace azureladder::integration
