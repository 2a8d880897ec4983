#include "cluster_scenarios.hpp"
#include "ownership_internal.hpp"

#include <azureladder/core/step.hpp>

namespace azureladder::core::testing {
namespace {

using holder_counts = std::map<node_id, std::size_t>;

/// Adds one holder to each node that the plan names as witness or standby.
void count_holders(const plan& value, holder_counts& holders)
{
    std::set<member_id> named(value.m_witnesses.begin(), value.m_witnesses.end());
    named.insert(value.m_standbys.begin(), value.m_standbys.end());
    for (const auto& member : named)
        ++holders[member.m_node];
}

/// Largest number of holders of a node, divided by the mean over all nodes.
double max_to_mean_ratio(const holder_counts& holders, std::size_t nodes)
{
    std::size_t most = 0;
    std::size_t sum = 0;
    for (const auto& [node, count] : holders) {
        most = std::max(most, count);
        sum += count;
    }
    return double(most * nodes) / double(sum);
}

/// Plans whose nodes choose members in rounds, each based on the plans of the previous round. A
/// choice depends only on identity and plans, so all nodes share one state.
struct fleet
{
    void add(const std::string& node, const std::string& zone)
    {
        plan value;
        value.m_member = {node, 1};
        value.m_version = 1;
        value.m_zone = zone;
        m_plans.push_back(value);
    }

    bool choose(plan& value)
    {
        m_state.m_identity.m_node = value.m_member.m_node;
        m_state.m_identity.m_zone = value.m_zone;
        m_state.m_incarnation = value.m_member.m_incarnation;
        m_state.m_ownership.m_plan = m_state.m_ownership.m_active_plan = value;
        const auto before = value;
        const auto chosen = choose_members(m_state, m_now, {value.m_standbys, value.m_witnesses});
        value.m_standbys = chosen.m_standbys;
        value.m_witnesses = chosen.m_witnesses;
        ++value.m_version;
        return value.m_standbys != before.m_standbys || value.m_witnesses != before.m_witnesses;
    }

    /// Runs rounds until no plan changes. Returns the number of plan changes.
    std::size_t choose_until_stable()
    {
        std::size_t changes = 0;
        for (int rounds = 0; rounds < 40; ++rounds) {
            for (const auto& value : m_plans)
                install_plan(m_state.m_directory, value);
            const auto former = changes;
            for (auto& value : m_plans)
                changes += choose(value) ? 1 : 0;
            if (changes == former)
                return changes;
        }
        ADD_FAILURE() << "plans still change after 40 rounds";
        return changes;
    }

    holder_counts holders() const
    {
        holder_counts result;
        for (const auto& value : m_plans)
            count_holders(value, result);
        return result;
    }

    node_state m_state = make_node_state({"-", "-", {}, {}}, core_options(), 1);
    const time_point m_now{seconds(10)};
    std::vector<plan> m_plans;
};

class plan_members : public ::testing::TestWithParam<std::pair<std::size_t, std::size_t>>
{
protected:
    plan_members()
    {
        for (std::size_t i = 0; i < GetParam().first; ++i)
            m_fleet.add("n" + std::to_string(i), "z" + std::to_string(i % GetParam().second));
    }

    fleet m_fleet;
};

// Guards against nodes with several times as many holders as the mean: each holder costs five
// requests and answers a second. Each joining node has the plans of all nodes that joined before.
TEST_P(plan_members, holders_are_spread_after_nodes_joined_one_by_one)
{
    for (auto& value : m_fleet.m_plans) {
        m_fleet.choose(value);
        install_plan(m_fleet.m_state.m_directory, value);
    }
    m_fleet.choose_until_stable();
    EXPECT_LE(max_to_mean_ratio(m_fleet.holders(), m_fleet.m_plans.size()), 2.0);
}

// Guards against the same when all nodes join at once and have only the plans of the first six, and
// against witnesses that share a zone or are reassigned at many nodes when one leaves or returns.
TEST_P(plan_members, holders_stay_spread_when_one_node_leaves_and_returns)
{
    auto& plans = m_fleet.m_plans;
    for (std::size_t i = 0; i < 6; ++i)
        install_plan(m_fleet.m_state.m_directory, plans[i]);
    for (auto& value : plans)
        m_fleet.choose(value);
    m_fleet.choose_until_stable();
    EXPECT_LE(max_to_mean_ratio(m_fleet.holders(), m_fleet.m_plans.size()), 2.0);
    const auto lost = plans.front();
    const auto holders = m_fleet.holders()[lost.m_member.m_node];
    remove_plan(m_fleet.m_state.m_directory, lost.m_member);
    plans.erase(plans.begin());
    EXPECT_LE(m_fleet.choose_until_stable(), holders + 2);
    m_fleet.add(lost.m_member.m_node, lost.m_zone);
    EXPECT_LE(m_fleet.choose_until_stable(), 3U);
    EXPECT_LE(max_to_mean_ratio(m_fleet.holders(), m_fleet.m_plans.size()), 2.0);
    for (const auto& value : plans) {
        std::set<std::string> zones;
        for (const auto& member : value.m_witnesses)
            zones.insert(find_plan(m_fleet.m_state.m_directory, member)->m_zone);
        ASSERT_EQ(zones.size(), 3U) << value.m_member.m_node;
    }
}

INSTANTIATE_TEST_SUITE_P(sizes, plan_members,
                         ::testing::Values(std::pair(150, 3), std::pair(1'100, 26)));

// Guards against endless changes of witnesses when the nodes of a small zone have many holders,
// which is unavoidable because witnesses are in different zones.
TEST(plan_members_uneven, member_choices_converge_with_a_small_zone)
{
    fleet uneven;
    for (int i = 0; i < 40; ++i)
        uneven.add("n" + std::to_string(i), "z" + std::to_string(i % 2));
    for (const auto* node : {"c1", "c2"}) {
        uneven.add(node, "small");
        uneven.choose_until_stable();
    }
    EXPECT_LE(std::max(uneven.holders()["c1"], uneven.holders()["c2"]), 25U);
}

// Guards against a replacement of a witness that loses a lease or a slice. The first three nodes
// start with all others as holders.
TEST(plan_members_uneven, overloaded_witnesses_are_replaced_without_losing_leases)
{
    cluster_harness cluster(11);
    cluster.apply(json::array({divided_service("orders", 36)}));
    for (int i = 0; i < 18; ++i)
        cluster.add_node("n" + std::to_string(i), "zone-" + std::to_string(i % 3), "orders");
    for (int i = 0; i < 3; ++i)
        cluster.start("n" + std::to_string(i));
    cluster.run_for(seconds(5));
    // While the first three nodes select each other, a lease may be lost without any replacement.
    const auto lost_before = cluster.m_events_logged["lease_lost"];
    for (int i = 3; i < 18; ++i)
        cluster.start("n" + std::to_string(i));
    cluster.run_for(seconds(60));
    holder_counts holders;
    for (const auto& name : cluster.names())
        count_holders(cluster.node(name).m_state.m_ownership.m_active_plan, holders);
    EXPECT_LE(max_to_mean_ratio(holders, 18), 2.0);
    EXPECT_EQ(cluster.m_events_logged["lease_lost"], lost_before);
    EXPECT_TRUE(cluster.all_served());
    expect_no_violations(cluster);
}

// Guards against a node that loses its lease when one zone is lost: only two zones were known when
// its plan was first written, so two of its witnesses share a zone.
TEST(plan_members_uneven, witness_in_a_shared_zone_is_replaced_when_another_zone_is_known)
{
    cluster_harness cluster(13);
    add_six_nodes(cluster);
    for (const auto* name : {"c1", "c2", "b1", "a1"})
        cluster.start(name);
    cluster.run_for(seconds(5));
    const auto& active = cluster.node("a1").m_state.m_ownership.m_active_plan;
    EXPECT_EQ(active.m_witnesses.size(), 3U);
    cluster.start("a2");
    cluster.start("b2");
    cluster.run_for(seconds(60));
    const auto lost_before = cluster.m_events_logged["lease_lost"];
    for (const auto& name : cluster.names())
        cluster.set_isolated(name, name[0] == 'c');
    cluster.run_for(seconds(2));
    // Only the two isolated nodes may lose their leases.
    EXPECT_LE(cluster.m_events_logged["lease_lost"], lost_before + 2);
    EXPECT_TRUE(cluster.all_served());
    expect_no_violations(cluster);
}

// Guards against repeated selection of witnesses in a partitioned zone.
TEST(plan_members_uneven, partitioned_zone_is_not_selected_repeatedly)
{
    cluster_harness cluster(13);
    start_balanced(cluster);
    cluster.set_isolated("c1", true);
    cluster.set_isolated("c2", true);
    cluster.run_for(seconds(10));
    const auto lost_before = cluster.m_events_logged["lease_lost"];
    cluster.run_for(seconds(120));
    EXPECT_EQ(cluster.m_events_logged["lease_lost"], lost_before);
    for (const auto& member : cluster.node("a1").m_state.m_ownership.m_active_plan.m_witnesses)
        EXPECT_NE(member.m_node[0], 'c');
    EXPECT_TRUE(cluster.all_served());
    expect_no_violations(cluster);
}

} // namespace
} // namespace azureladder::core::testing
