#include "cluster_scenarios.hpp"

#include <azureladder/core/ownership.hpp>

#include <algorithm>

namespace azureladder::core::testing {

namespace {

bool has_slice_in(const cluster_harness& cluster, const node_state& state, slice_phase phase)
{
    (void)cluster;
    const auto& slices = state.m_ownership.m_slices;
    return std::any_of(slices.begin(), slices.end(),
                       [&](const auto& entry) { return entry.second.m_phase == phase; });
}

/// Node with a slice in the given phase of a move; empty when there is none.
std::string node_in(cluster_harness& cluster, slice_phase phase)
{
    for (const auto& name : cluster.names()) {
        if (has_slice_in(cluster, cluster.node(name).m_state, phase))
            return name;
    }
    return "";
}

} // namespace

// Guards against a slice that nobody adopts: its new owner was lost between the slice table entry
// and the plan that lists the slice, and the standby may not own keys by the key policy.
TEST(ownership_moves, owner_lost_before_its_plan_lists_a_gained_slice)
{
    cluster_harness cluster(5);
    start_balanced(cluster);
    const json policy = {{"kind", "key_policy"},
                         {"schema_version", 1},
                         {"name", "owners"},
                         {"service", "orders"},
                         {"servers", {"server-a1", "server-b1"}}};
    cluster.apply(json::array({policy}));
    const auto gained = [&] {
        const auto& state = cluster.node("b1").m_state;
        const auto& listed = state.m_ownership.m_plan.m_slices;
        return state.m_ownership.m_slices.size() > listed.size();
    };
    ASSERT_TRUE(cluster.run_until(gained, seconds(20)));
    cluster.kill("b1");
    EXPECT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(30)));
    expect_consistent(cluster);
}

// Guards against a slice that stays without an owner for as long as the store is down, because the
// outage began while the slice moved. The owner lives and holds its lease.
TEST(ownership_moves, outage_during_a_move_leaves_the_slice_served)
{
    for (const auto phase : {slice_phase::moving, slice_phase::draining, slice_phase::releasing,
                             slice_phase::taking_back}) {
        cluster_harness cluster(11);
        start_balanced(cluster);
        cluster.apply(json::array({zone_state("zone-a", "out")}));
        cluster.run_for(seconds(5));
        cluster.apply(json::array({zone_state("zone-a", "in")}));
        bool seen = false;
        for (int step = 0; step < 30'000 && !seen; ++step) {
            cluster.run_for(milliseconds(1));
            seen = !node_in(cluster, phase).empty();
        }
        if (!seen)
            continue; // without faults a move does not pass through every phase visibly
        cluster.m_store.m_down = true;
        EXPECT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(10)))
            << "outage in phase " << int(phase);
        cluster.m_store.m_down = false;
        EXPECT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(20)));
        expect_consistent(cluster);
    }
}

} // namespace azureladder::core::testing
