#include "cluster_scenarios.hpp"
#include "directory_poll.hpp"
#include "ownership_internal.hpp"

namespace azureladder::core::testing {
namespace {

// Guards against polls that read unchanged values in full, and against polls that miss a change.
TEST(directory_poll, unchanged_cluster_reads_no_values)
{
    cluster_harness cluster(3);
    start_balanced(cluster);
    const auto bytes = cluster.m_store.m_bytes_read;
    const auto calls = cluster.m_store.m_calls;
    cluster.run_for(seconds(30));
    EXPECT_EQ(cluster.m_store.m_bytes_read - bytes, 0U);
    EXPECT_GT(cluster.m_store.m_calls - calls, 300U);
    cluster.apply(json::array({zone_state("zone-a", "out")}));
    cluster.run_for(seconds(30));
    EXPECT_GT(cluster.m_store.m_bytes_read - bytes, 0U);
    EXPECT_EQ(cluster.served_slice_count("a1") + cluster.served_slice_count("a2"), 0U);
    expect_no_violations(cluster);
}

// Guards against an owner whose plan is never read: the plan was ignored as one of an earlier
// incarnation, and its shard has not changed since.
TEST(directory_poll, location_of_unknown_owner_causes_a_full_read)
{
    auto state = make_node_state({"n", "zone-a", {}, {}}, core_options(), 1);
    auto& own = state.m_ownership;
    own.m_plan_shards = 4;
    const auto key = plan_key(state, "m");
    own.m_operations[1].m_kind = store_operation_kind::poll_plan_shard;
    own.m_operations[1].m_key = key;
    record_polled_version(state, {1, store_status::ok, "{}", 7});
    ASSERT_EQ(own.m_polled_versions[key].m_version, 7U);
    effects output;
    merge_location(state, {claim_space, 1}, {{"m", 9}, 3}, output);
    EXPECT_EQ(own.m_polled_versions.count(key), 0U);
}

} // namespace
} // namespace azureladder::core::testing
