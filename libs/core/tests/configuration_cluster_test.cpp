#include "cluster_scenarios.hpp"

#include <azureladder/base/hash.hpp>
#include <azureladder/core/configuration.hpp>
#include <azureladder/core/ownership.hpp>

#include <algorithm>

namespace azureladder::core::testing {

namespace {

constexpr duration acceptance_limit = seconds(5);

class configuration_cluster : public ::testing::Test
{
protected:
    explicit configuration_cluster(std::uint64_t seed = 21) : m_cluster(seed) {}

    void SetUp() override { start_balanced(m_cluster); }

    void change(const std::string& node, const std::string& apply_id, const json& record,
                revision_number base = 0)
    {
        m_cluster.inject(node, change_requested{apply_id, json::array({record}), base});
    }

    json progress(const std::string& node, const std::string& apply_id)
    {
        const auto shown = change_progress(m_cluster.node(node).m_state, apply_id);
        return shown.is_null() ? json::object() : shown;
    }

    std::string state_of(const std::string& node, const std::string& apply_id)
    {
        return progress(node, apply_id).value("state", "");
    }

    bool accepted(const std::string& node, const std::string& apply_id, duration limit)
    {
        return m_cluster.run_until([&] { return state_of(node, apply_id) == "accepted"; }, limit);
    }

    revision_number revision_of(const std::string& node)
    {
        return m_cluster.node(node).m_state.m_configuration.m_document.m_revision;
    }

    /// Running nodes that hold a lease, and so may serve, with an older revision than the given
    /// one.
    std::vector<std::string> lease_holders_without(revision_number revision)
    {
        std::vector<std::string> found;
        for (const auto& name : m_cluster.names()) {
            const auto& target = m_cluster.node(name);
            if (target.m_running && revision_of(name) < revision &&
                holds_lease(target.m_state, m_cluster.local_time(target)))
                found.push_back(name);
        }
        return found;
    }

    records::document stored()
    {
        return records::parse_document(m_cluster.m_store.m_entries.at("config").m_value).value();
    }

    cluster_harness m_cluster;
};

json server_out(const std::string& node)
{
    return {
        {"kind", "server"}, {"schema_version", 2}, {"name", "server-" + node}, {"state", "out"}};
}

// Guards against acceptance before every node has the revision, and against a change that is never
// accepted.
TEST_F(configuration_cluster, change_is_accepted_when_all_nodes_have_it)
{
    const auto before = revision_of("a1");
    change("a1", "first", zone_state("zone-c", "out"));
    ASSERT_TRUE(accepted("a1", "first", acceptance_limit));
    EXPECT_EQ(progress("a1", "first").at("revision"), before + 1);
    for (const auto& name : m_cluster.names())
        EXPECT_EQ(revision_of(name), before + 1) << name;
    m_cluster.run_for(seconds(5));
    EXPECT_EQ(m_cluster.served_slice_count("c1") + m_cluster.served_slice_count("c2"), 0U);
    expect_no_violations(m_cluster);
}

// Guards against acceptance while a suspended node, which may resume at any time, holds a lease
// without the revision, and against acceptance that waits until the node resumes.
TEST_F(configuration_cluster, suspended_node_delays_acceptance_until_its_lease_ended)
{
    m_cluster.pause("b1", seconds(30));
    const auto revision = revision_of("a1") + 1;
    change("a1", "frozen", server_out("c2"));
    while (state_of("a1", "frozen") != "accepted" && m_cluster.now() < time_point(seconds(250)))
        m_cluster.run_for(milliseconds(1));
    ASSERT_EQ(state_of("a1", "frozen"), "accepted");
    EXPECT_TRUE(lease_holders_without(revision).empty());
    EXPECT_LT(revision_of("b1"), revision) << "the node must still be frozen";
    m_cluster.run_for(seconds(60));
    EXPECT_EQ(revision_of("b1"), revision);
    expect_no_violations(m_cluster);
}

// Guards against acceptance while an unreachable node still serves with the older revision: its
// witnesses acknowledge at once, but the lease that they granted ends later.
TEST_F(configuration_cluster, node_that_serves_while_unreachable_delays_acceptance)
{
    const auto revision = revision_of("a1") + 1;
    for (const auto& name : m_cluster.names()) {
        if (name != "b1")
            m_cluster.set_blocked("b1", name, true);
    }
    change("a1", "isolated", server_out("c2"));
    bool served_meanwhile = false;
    while (state_of("a1", "isolated") != "accepted" && m_cluster.now() < time_point(seconds(250))) {
        m_cluster.run_for(milliseconds(1));
        const auto without = lease_holders_without(revision);
        served_meanwhile = served_meanwhile || (without.size() == 1 && without[0] == "b1");
    }
    ASSERT_EQ(state_of("a1", "isolated"), "accepted");
    EXPECT_TRUE(served_meanwhile) << "b1 must have held a lease with the older revision";
    EXPECT_TRUE(lease_holders_without(revision).empty());
    expect_no_violations(m_cluster);
}

// Guards against a minority that reports acceptance because it counts only reachable nodes.
TEST_F(configuration_cluster, minority_never_accepts)
{
    for (const auto& name : m_cluster.names()) {
        if (name != "a1")
            m_cluster.set_blocked("a1", name, true);
    }
    change("a1", "minority", server_out("c2"));
    m_cluster.run_for(milliseconds(400));
    EXPECT_NE(state_of("a1", "minority"), "accepted");
    m_cluster.run_for(seconds(2));
    // The other nodes read the revision from the store, which the isolated node still reaches.
    EXPECT_TRUE(lease_holders_without(revision_of("a1")).empty());
    expect_no_violations(m_cluster);
}

// Guards against a change that took effect but is reported as rejected, or is applied twice.
TEST_F(configuration_cluster, lost_answer_of_the_write_is_resolved)
{
    const auto before = revision_of("a1");
    m_cluster.m_faults.m_store_lost_answers = 1000;
    change("a1", "lost", zone_state("zone-b", "out"));
    ASSERT_TRUE(m_cluster.run_until([&] { return stored().m_revision > before; }, seconds(2)));
    EXPECT_NE(state_of("a1", "lost"), "rejected");
    m_cluster.m_faults.m_store_lost_answers = 0;
    ASSERT_TRUE(accepted("a1", "lost", acceptance_limit));
    EXPECT_EQ(stored().m_revision, before + 1);
    expect_no_violations(m_cluster);
}

// Guards against rejection of a change that took effect: the answer to the write was lost, and the
// store is then unavailable for longer than the time after which a change is rejected.
TEST_F(configuration_cluster, lost_answer_before_an_outage_is_not_a_rejection)
{
    const auto before = revision_of("a1");
    m_cluster.m_faults.m_store_lost_answers = 1000;
    change("a1", "lost", server_out("c2"));
    ASSERT_TRUE(m_cluster.run_until([&] { return stored().m_revision > before; }, seconds(2)));
    m_cluster.m_store.m_down = true;
    m_cluster.m_faults.m_store_lost_answers = 0;
    m_cluster.run_for(seconds(30));
    EXPECT_EQ(state_of("a1", "lost"), "unknown");
    m_cluster.m_store.m_down = false;
    ASSERT_TRUE(accepted("a1", "lost", acceptance_limit));
    EXPECT_EQ(stored().m_revision, before + 1);
    expect_no_violations(m_cluster);
}

// Guards against a change that takes effect after it was reported as rejected.
TEST_F(configuration_cluster, change_is_rejected_while_the_store_is_down)
{
    const auto before = revision_of("a1");
    m_cluster.m_store.m_down = true;
    change("a1", "down", zone_state("zone-b", "out"));
    EXPECT_TRUE(
        m_cluster.run_until([&] { return state_of("a1", "down") == "rejected"; }, seconds(20)));
    m_cluster.m_store.m_down = false;
    m_cluster.run_for(seconds(20));
    EXPECT_EQ(state_of("a1", "down"), "rejected");
    EXPECT_EQ(stored().m_revision, before);
    EXPECT_FALSE(records::has_apply_id(stored(), "down"));
    for (const auto& name : m_cluster.names())
        EXPECT_EQ(revision_of(name), before) << name;
    expect_no_violations(m_cluster);
}

// Guards against acceptance during a store outage, when nodes that have joined cannot be detected.
TEST_F(configuration_cluster, outage_after_the_write_delays_acceptance)
{
    const auto before = revision_of("a1");
    change("a1", "spread", server_out("c2"));
    ASSERT_TRUE(m_cluster.run_until([&] { return revision_of("a1") > before; }, seconds(2)));
    m_cluster.m_store.m_down = true;
    m_cluster.run_for(seconds(5));
    EXPECT_EQ(state_of("a1", "spread"), "spreading");
    for (const auto& name : m_cluster.names())
        EXPECT_EQ(revision_of(name), before + 1) << name;
    m_cluster.m_store.m_down = false;
    EXPECT_TRUE(accepted("a1", "spread", acceptance_limit));
    expect_no_violations(m_cluster);
}

// Guards against a lost update when two operators change the configuration at the same time.
TEST_F(configuration_cluster, concurrent_changes_are_both_applied)
{
    const auto before = revision_of("a1");
    change("a1", "one", server_out("c2"));
    change("b2", "two", server_out("b1"));
    ASSERT_TRUE(accepted("a1", "one", acceptance_limit));
    ASSERT_TRUE(accepted("b2", "two", acceptance_limit));
    EXPECT_NE(progress("a1", "one").at("revision"), progress("b2", "two").at("revision"));
    EXPECT_EQ(stored().m_revision, before + 2);
    EXPECT_FALSE(records::server_in_service(stored(), "server-c2"));
    EXPECT_FALSE(records::server_in_service(stored(), "server-b1"));
    expect_no_violations(m_cluster);
}

// Guards against a change that is applied although it is based on an older revision.
TEST_F(configuration_cluster, outdated_base_revision_is_a_conflict)
{
    const auto before = revision_of("a1");
    change("a1", "one", server_out("c2"), before);
    ASSERT_TRUE(accepted("a1", "one", acceptance_limit));
    change("b2", "two", server_out("b1"), before);
    EXPECT_TRUE(
        m_cluster.run_until([&] { return state_of("b2", "two") == "rejected"; }, seconds(5)));
    EXPECT_EQ(stored().m_revision, before + 1);
    EXPECT_TRUE(records::server_in_service(stored(), "server-b1"));
    expect_no_violations(m_cluster);
}

// Guards against a node that reverts to an older revision, whether from a peer or from the store.
TEST_F(configuration_cluster, older_documents_are_never_installed)
{
    const auto before = revision_of("a1");
    const auto old_text = m_cluster.m_store.m_entries.at("config").m_value;
    change("a1", "newer", zone_state("zone-c", "out"));
    ASSERT_TRUE(accepted("a1", "newer", acceptance_limit));
    const auto& sender = m_cluster.node("a2");
    for (const auto revision : {before, before + 5}) {
        m_cluster.inject("b1",
                         message_received{self(sender.m_state), sender.m_identity.m_peer_address,
                                          config_push{revision, old_text}});
        // Processes only this message: a node that reverted would soon pull the newer document
        // again.
        m_cluster.run_for(duration(0));
        EXPECT_EQ(revision_of("b1"), before + 1);
    }
    m_cluster.m_store.m_entries.at("config").m_value = old_text;
    ++m_cluster.m_store.m_entries.at("config").m_version; // unchanged versions are not read
    const auto any_older = [&] {
        const auto names = m_cluster.names();
        return std::any_of(names.begin(), names.end(), [&](const std::string& name) {
            return revision_of(name) != before + 1;
        });
    };
    EXPECT_FALSE(m_cluster.run_until(any_older, seconds(10)));
    expect_no_violations(m_cluster);
}

// Guards against a second revision when an operator's tool repeats its call, at any node.
TEST_F(configuration_cluster, repeated_apply_id_changes_nothing)
{
    const auto before = revision_of("a1");
    change("a1", "same", server_out("c2"));
    ASSERT_TRUE(accepted("a1", "same", acceptance_limit));
    change("a1", "same", server_out("c2"));
    change("b1", "same", server_out("c2"));
    ASSERT_TRUE(accepted("b1", "same", acceptance_limit));
    EXPECT_EQ(progress("b1", "same").at("revision"), before + 1);
    EXPECT_EQ(stored().m_revision, before + 1);
    expect_no_violations(m_cluster);
}

// Guards against a restarted node that serves with a configuration older than the accepted one.
TEST_F(configuration_cluster, joining_node_reads_the_accepted_revision)
{
    m_cluster.kill("b1");
    const auto revision = revision_of("a1") + 1;
    change("a1", "joined", zone_state("zone-c", "out"));
    ASSERT_TRUE(accepted("a1", "joined", acceptance_limit));
    m_cluster.start("b1");
    for (int step = 0; step < 5000; ++step) {
        m_cluster.run_for(milliseconds(1));
        ASSERT_TRUE(lease_holders_without(revision).empty());
    }
    EXPECT_EQ(revision_of("b1"), revision);
    expect_no_violations(m_cluster);
}

// Guards against fenced nodes that still count as the configuration readers of their zone, so that
// no live node reads the configuration.
TEST(configuration_readers, lost_readers_are_replaced)
{
    cluster_harness cluster(5);
    cluster.apply(json::array({divided_service("orders", 4)}));
    std::vector<std::string> ranked{"a1", "a2", "a3", "a4", "a5", "a6"};
    for (const auto& name : ranked)
        cluster.add_node(name, "zone-a", "orders");
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& a, const auto& b) { return hash64(a) < hash64(b); });
    cluster.start_all();
    ASSERT_TRUE(all_served_within(cluster, seconds(20)));
    for (std::size_t i = 0; i < 2; ++i) {
        cluster.kill(ranked[i]);
        cluster.run_for(seconds(10));
    }
    cluster.apply(json::array({zone_state("zone-b", "out")}));
    const auto& known = cluster.node(ranked.back()).m_state.m_configuration.m_document;
    const auto before = known.m_revision;
    EXPECT_TRUE(cluster.run_until([&] { return known.m_revision > before; }, acceptance_limit));
}

// Guards against a node that serves before it has read the configuration. Without witnesses, no
// node refuses it a lease.
TEST(configuration_join, node_without_witnesses_reads_the_configuration_first)
{
    cluster_harness cluster(22);
    cluster.apply(json::array({divided_service("orders", 12)}));
    cluster.add_node("a1", "zone-a", "orders");
    cluster.start("a1");
    const auto& node = cluster.node("a1");
    const auto& revision = node.m_state.m_configuration.m_document.m_revision;
    const auto has_lease = [&] { return holds_lease(node.m_state, cluster.local_time(node)); };
    for (int step = 0; step < 1000 && !has_lease(); ++step)
        cluster.run_for(milliseconds(1));
    EXPECT_TRUE(has_lease());
    EXPECT_EQ(revision, 1U);
}

} // namespace

} // namespace azureladder::core::testing
