#include "cluster_fixture.hpp"

#include <chrono>
#include <csignal>
#include <thread>

namespace azureladder::integration {
namespace {

using deployment::wait_until;

constexpr const char* entry = "n-bookings-a";
constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr milliseconds recovery_limit{15'000};

std::uint64_t executions(deployment::cluster& test_cluster, const std::string& idempotency_key)
{
    std::uint64_t total = 0;
    for (const auto& node : test_cluster.nodes()) {
        http::client client(test_cluster.backend_address(node.m_node));
        http::request message;
        message.m_target = "/control/executions";
        const auto reply = client.execute(message);
        if (!reply)
            continue;
        const auto records = json::parse(reply.value().m_body, nullptr, false);
        for (const auto& record : records) {
            if (record.value("event", "") == "execution_started" &&
                record.value("idempotency_key", "") == idempotency_key)
                ++total;
        }
    }
    return total;
}

template <class Function>
void for_each_booking_backend(deployment::cluster& test_cluster, Function function)
{
    for (const auto& node : test_cluster.nodes()) {
        if (node.m_service == "bookings")
            function(test_cluster.backend(node.m_node));
    }
}

// Guards against a second execution when a caller repeats an order, also through another node.
TEST_F(cluster_fixture, repeated_order_is_executed_once)
{
    ASSERT_NO_FATAL_FAILURE(start());
    EXPECT_EQ(send_booking(entry, "order-1"), status_ok);
    EXPECT_EQ(send_booking("n-reporting-b", "order-1"), status_ok);
    EXPECT_EQ(send_booking("n-bookings-c", "order-1"), status_ok);
    EXPECT_EQ(executions(test_cluster(), "order-1"), 1U);
    expect_clean_audit();
}

// Guards against a second execution when the answer to an order was lost: the backend servers are
// paused with the order in their sockets and resume later, and the caller repeats the order.
TEST_F(cluster_fixture, order_with_lost_answer_is_not_executed_again)
{
    ASSERT_NO_FATAL_FAILURE(start());
    for_each_booking_backend(test_cluster(), [](auto& backend) { backend.send_signal(SIGSTOP); });
    http::request message;
    message.m_method = "POST";
    message.m_target = "/bookings/jobs";
    message.m_headers = {{"Idempotency-Key", "order-2"}, {"Request-Timeout-Ms", "500"}};
    message.m_body = "{}";
    const auto first = test_cluster().call(entry, message);
    ASSERT_TRUE(first);
    const auto* state = http::find_header(first.value().m_headers, "Azureladder-Executed");
    ASSERT_NE(state, nullptr);
    EXPECT_EQ(*state, "unknown") << first.value().m_body;
    for_each_booking_backend(test_cluster(), [](auto& backend) { backend.send_signal(SIGCONT); });
    EXPECT_EQ(send_booking("n-reporting-b", "order-2"), status_conflict);
    EXPECT_EQ(send_booking(entry, "order-2"), status_conflict);
    EXPECT_LE(executions(test_cluster(), "order-2"), 1U);
    expect_clean_audit();
}

// Guards against new work in a zone that is out of service, and against connections lost during the
// change.
TEST_F(cluster_fixture, zone_leaves_and_returns)
{
    ASSERT_NO_FATAL_FAILURE(start());
    start_load(12);
    std::this_thread::sleep_for(seconds(1));
    const auto out = test_cluster().command(entry, {"zone", "out", "zone-c"});
    EXPECT_EQ(out.m_exit_code, 0) << out.m_output;
    std::this_thread::sleep_for(seconds(5));
    const auto back = test_cluster().command(entry, {"zone", "in", "zone-c"});
    EXPECT_EQ(back.m_exit_code, 0) << back.m_output;
    const auto report = finish_load();
    EXPECT_EQ(count(report, "connection_lost"), 0U) << report.dump(2);
    expect_clean_audit();
}

// Guards against keys that become unavailable because their slices return to a node that released
// them earlier: its backend server must accept the new epoch.
TEST_F(cluster_fixture, keys_are_served_after_their_slices_return)
{
    ASSERT_NO_FATAL_FAILURE(start());
    const auto all_served = [&] {
        for (int number = 0; number < 60; ++number) {
            if (!served(entry, "k" + std::to_string(number)))
                return false;
        }
        return true;
    };
    for (const std::string zone : {"zone-a", "zone-b", "zone-c"}) {
        for (const std::string state : {"out", "in"}) {
            const auto changed = test_cluster().command(entry, {"zone", state, zone});
            EXPECT_EQ(changed.m_exit_code, 0) << changed.m_output;
            EXPECT_TRUE(wait_until(all_served, recovery_limit)) << zone << " " << state;
        }
    }
    expect_clean_audit();
}

// Guards against a change that is reported as accepted although a paused node, which may resume
// at any time, still serves by the older revision.
TEST_F(cluster_fixture, change_is_accepted_while_a_node_is_paused)
{
    ASSERT_NO_FATAL_FAILURE(start());
    start_load(8);
    test_cluster().router("n-bookings-c").send_signal(SIGSTOP);
    const auto out = test_cluster().command(entry, {"server", "out", "bookings-b"});
    EXPECT_EQ(out.m_exit_code, 0) << out.m_output;
    std::this_thread::sleep_for(seconds(4));
    test_cluster().router("n-bookings-c").send_signal(SIGCONT);
    finish_load();
    expect_clean_audit();
}

// Guards against a change that stays reported as rejected or unknown although the store applied it,
// because the answer to the write was lost.
TEST_F(cluster_fixture, change_with_lost_answer_is_settled)
{
    ASSERT_NO_FATAL_FAILURE(start());
    ASSERT_TRUE(test_cluster().control_store({{"lose_next_write_answers", 1}}));
    const auto out = test_cluster().command(entry, {"server", "out", "bookings-b"});
    EXPECT_EQ(out.m_exit_code, 0) << out.m_output;
    EXPECT_TRUE(wait_until(
        [&] {
            const auto status = test_cluster().status("n-reporting-c");
            return status && (*status)["servers"].value("bookings-b", "in") == "out";
        },
        recovery_limit));
    expect_clean_audit();
}

// Guards against a lost update when two operators make changes concurrently.
TEST_F(cluster_fixture, concurrent_changes_are_both_kept)
{
    ASSERT_NO_FATAL_FAILURE(start());
    deployment::command_result first;
    std::thread other([&] {
        first = test_cluster().command("n-reporting-b", {"server", "out", "bookings-b"});
    });
    const auto second = test_cluster().apply(
        entry, json::parse(R"([{"kind": "server", "schema_version": 2, "name": "bookings-c",
                                "state": "out"}])"));
    other.join();
    EXPECT_EQ(first.m_exit_code, 0) << first.m_output;
    EXPECT_EQ(second.m_exit_code, 0) << second.m_output;
    const auto status = test_cluster().status(entry);
    ASSERT_TRUE(status);
    EXPECT_EQ((*status)["servers"].value("bookings-b", "in"), "out");
    EXPECT_EQ((*status)["servers"].value("bookings-c", "in"), "out");
    expect_clean_audit();
}

} // namespace
} // namespace azureladder::integration
