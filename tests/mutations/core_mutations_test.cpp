// Tests for mutations whose effect another mechanism masks in the tests of the core library.

#include "cluster_scenarios.hpp"

#include <algorithm>

namespace azureladder::core::testing {

namespace {

bool has_revision(cluster_harness& cluster, const std::string& node, revision_number revision)
{
    return cluster.node(node).m_state.m_configuration.m_document.m_revision >= revision;
}

bool all_have_revision(cluster_harness& cluster, revision_number revision)
{
    const auto names = cluster.names();
    return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
        return has_revision(cluster, name, revision);
    });
}

/// Takes a zone out of service in the store and returns the revision of that change.
revision_number take_out(cluster_harness& cluster, const std::string& zone)
{
    cluster.apply(json::array({zone_state(zone, "out")}));
    return records::parse_document(cluster.m_store.m_entries.at("config").m_value)
        .value()
        .m_revision;
}

// Guards against a zone that keeps its claim slices after operators took it out of service. With
// the store up, moves for balance empty the zone within 3 s even when its nodes release nothing.
TEST(masked_mutations, zone_out_releases_slices_while_the_store_is_down)
{
    cluster_harness cluster(8);
    start_balanced(cluster);
    ASSERT_GT(cluster.served("a1") + cluster.served("a2"), 0U);
    const auto out = take_out(cluster, "zone-a");
    const auto one_knows = [&] {
        return has_revision(cluster, "a1", out) || has_revision(cluster, "a2", out);
    };
    ASSERT_TRUE(cluster.run_until(one_knows, seconds(5)));
    cluster.m_store.m_down = true;
    cluster.run_for(seconds(3));
    EXPECT_EQ(cluster.served("a1"), 0U);
    EXPECT_EQ(cluster.served("a2"), 0U);
    EXPECT_TRUE(served_again(cluster, milliseconds(200))) << cluster.unserved();
    EXPECT_EQ(cluster.m_events_logged["takeover"], 0U);
    expect_consistent(cluster);
}

// Guards against a node that installs an older document and pulls the newer one again soon after,
// so that a check some seconds later finds the newer revision.
TEST(masked_mutations, no_node_returns_to_an_older_revision)
{
    cluster_harness cluster(21);
    start_balanced(cluster);
    const auto old_text = cluster.m_store.m_entries.at("config").m_value;
    const auto newer = take_out(cluster, "zone-c");
    const auto all_know = [&] { return all_have_revision(cluster, newer); };
    ASSERT_TRUE(cluster.run_until(all_know, seconds(5)));
    const auto& sender = cluster.node("a2");
    // The stated revision is newer, but the document is the old one.
    cluster.inject("b1", message_received{self(sender.m_state), sender.m_identity.m_peer_address,
                                          config_push{newer + 5, old_text}});
    // Handles the message; a newer document can arrive 1 ms later at the earliest.
    cluster.run_for(duration(0));
    EXPECT_TRUE(has_revision(cluster, "b1", newer));
    cluster.m_store.m_entries.at("config").m_value = old_text;
    EXPECT_FALSE(cluster.run_until([&] { return !all_know(); }, seconds(10)));
    expect_consistent(cluster);
}

} // namespace
} // namespace azureladder::core::testing
