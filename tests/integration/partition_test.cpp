#include "cluster_fixture.hpp"

#include <chrono>
#include <set>
#include <string>
#include <thread>

namespace azureladder::integration {
namespace {

using deployment::wait_until;

constexpr milliseconds recovery_limit{15'000};
constexpr milliseconds stable_time{2'500};
constexpr std::size_t reporting_nodes = 3;
constexpr const char* key = "k1";
constexpr const char* idle_entry = "n-bookings-a";
constexpr int status_ok = 200;
constexpr int first_server_error = 500;

class partition_test : public cluster_fixture
{
protected:
    partition_test() : cluster_fixture(true) {}

    /// Starts the cluster, waits until balancing has finished, starts the load and stores the owner
    /// of `key` in `m_owner`.
    void start_with_load(unsigned duration_s)
    {
        ASSERT_NO_FATAL_FAILURE(start());
        ASSERT_TRUE(wait_until([&] { return owners_are_stable(); }, recovery_limit));
        start_load(duration_s);
        m_owner = owner_of(idle_entry, key);
        ASSERT_FALSE(m_owner.empty());
    }

    /// Owner and epoch of every slice according to `idle_entry`.
    json slice_table()
    {
        const auto status = test_cluster().status(idle_entry);
        return status ? (*status)["slices"] : json();
    }

    /// Whether balancing has moved slices to each node that may own keys. After the start no slice
    /// moves for more than a second, until the backend servers have announced themselves.
    static bool is_spread(const json& slices)
    {
        std::set<std::string> owners;
        for (const auto& location : slices.value("reporting", json::object()))
            owners.insert(location.at("owner").get<std::string>());
        return owners.size() == reporting_nodes;
    }

    /// Whether no slice moved for `stable_time`, which is longer than a balance interval, the plan
    /// changes of the releasing owner and a move together.
    bool owners_are_stable()
    {
        const auto before = slice_table();
        std::this_thread::sleep_for(stable_time);
        return before.is_object() && is_spread(before) && slice_table() == before;
    }

    /// Waits until another node than the first owner serves `key`.
    bool taken_over()
    {
        return wait_until([&] { return served(idle_entry, key); }, recovery_limit) &&
               owner_of(idle_entry, key) != m_owner;
    }

    /// Whether a read at `node` is refused as not executed.
    bool refuses(const std::string& node)
    {
        http::request message;
        message.m_target = "/reporting/summary";
        message.m_headers = {{"Azureladder-Key", key}, {"Request-Timeout-Ms", "300"}};
        const auto reply = test_cluster().call(node, message);
        if (!reply || reply.value().m_status < first_server_error)
            return false;
        const auto* state = http::find_header(reply.value().m_headers, "Azureladder-Executed");
        return state != nullptr && *state == "no";
    }

    bool rejoins(const std::string& node)
    {
        return wait_until([&] { return test_cluster().ready(node) && served(node, key); },
                          recovery_limit);
    }

    void finish()
    {
        finish_load();
        expect_clean_audit();
    }

    std::string m_owner;
};

// Guards against an owner that depends on the platform store while it reaches its witnesses.
TEST_F(partition_test, owner_cut_off_from_the_store)
{
    ASSERT_NO_FATAL_FAILURE(start_with_load(5));
    ASSERT_TRUE(test_cluster().isolate_from_store(m_owner));
    const auto report = finish_load();
    EXPECT_EQ(failures(report), 0U) << report.dump(2);
    EXPECT_EQ(owner_of(idle_entry, key), m_owner);
    ASSERT_TRUE(test_cluster().heal_all());
    EXPECT_TRUE(served(m_owner, key));
    expect_clean_audit();
}

// Guards against an owner that serves without reaching its witnesses, and against keys that are not
// taken over from it.
TEST_F(partition_test, owner_cut_off_from_its_peers)
{
    ASSERT_NO_FATAL_FAILURE(start_with_load(6));
    ASSERT_TRUE(test_cluster().isolate_from_peers(m_owner));
    EXPECT_TRUE(taken_over());
    EXPECT_TRUE(refuses(m_owner));
    ASSERT_TRUE(test_cluster().heal_all());
    EXPECT_TRUE(rejoins(m_owner));
    finish();
}

// Guards against a takeover or a return that needs the former owner to reach the store.
TEST_F(partition_test, owner_cut_off_from_peers_and_store)
{
    ASSERT_NO_FATAL_FAILURE(start_with_load(6));
    ASSERT_TRUE(test_cluster().isolate_from_peers(m_owner) &&
                test_cluster().isolate_from_store(m_owner));
    EXPECT_TRUE(taken_over());
    EXPECT_TRUE(refuses(m_owner));
    ASSERT_TRUE(test_cluster().heal_all());
    EXPECT_TRUE(rejoins(m_owner));
    finish();
}

// Guards against witnesses or standbys in one zone only: the other zones must serve all its keys.
TEST_F(partition_test, zone_cut_off)
{
    ASSERT_NO_FATAL_FAILURE(start_with_load(7));
    const auto zone = "zone-" + m_owner.substr(m_owner.size() - 1);
    const std::string outside = zone == "zone-a" ? "n-bookings-b" : idle_entry;
    ASSERT_TRUE(test_cluster().isolate_zone(zone));
    EXPECT_TRUE(wait_until([&] { return served(outside, key); }, recovery_limit));
    EXPECT_NE(owner_of(outside, key), m_owner);
    // Until the claim slices have standbys outside the zone, orders are refused as not executed.
    EXPECT_TRUE(wait_until([&] { return send_booking(outside, "order-zone-cut") == status_ok; },
                           recovery_limit));
    EXPECT_TRUE(refuses(m_owner));
    ASSERT_TRUE(test_cluster().heal_zone(zone));
    EXPECT_TRUE(rejoins(m_owner));
    finish();
}

// Guards against an owner that continues to serve while it receives messages from its witnesses but
// its own messages are lost.
TEST_F(partition_test, owner_cannot_send)
{
    ASSERT_NO_FATAL_FAILURE(start_with_load(6));
    ASSERT_TRUE(test_cluster().discard_one_way(m_owner));
    EXPECT_TRUE(taken_over());
    EXPECT_TRUE(refuses(m_owner));
    ASSERT_TRUE(test_cluster().heal_all());
    EXPECT_TRUE(rejoins(m_owner));
    finish();
}

// Guards against witnesses that continue to grant leases to an owner which does not receive their
// messages: it must stop by its own clock, and two nodes must never serve at the same time.
TEST_F(partition_test, owner_cannot_receive)
{
    ASSERT_NO_FATAL_FAILURE(start_with_load(6));
    ASSERT_TRUE(test_cluster().discard_one_way(m_owner, true));
    EXPECT_TRUE(wait_until([&] { return refuses(m_owner); }, recovery_limit));
    std::this_thread::sleep_for(seconds(2));
    ASSERT_TRUE(test_cluster().heal_all());
    EXPECT_TRUE(rejoins(m_owner));
    finish();
}

// Guards against ownership changes caused by the loss or reordering of single lease messages.
TEST_F(partition_test, datagram_loss_changes_no_owner)
{
    ASSERT_NO_FATAL_FAILURE(start_with_load(5));
    const auto before = slice_table();
    ASSERT_TRUE(test_cluster().set_peer_faults({{"drop", 0.05}, {"reorder", 0.1}}));
    finish_load();
    ASSERT_TRUE(test_cluster().heal_all());
    EXPECT_EQ(slice_table(), before);
    expect_clean_audit();
}

} // namespace
} // namespace azureladder::integration
