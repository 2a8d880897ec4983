#pragma once

#include "cluster_harness.hpp"

#include <gtest/gtest.h>

namespace azureladder::core::testing {

inline json divided_service(const std::string& name, int slices)
{
    return {{"kind", "service"},
            {"schema_version", 2},
            {"name", name},
            {"placement", {{"divided_by_key", true}, {"slices", slices}}},
            {"execution", {{"max_execution_ms", 200}}}};
}

inline json zone_state(const std::string& zone, const std::string& state)
{
    return {{"kind", "zone"}, {"schema_version", 2}, {"name", zone}, {"state", state}};
}

/// Adds six nodes of one service, two in each of three zones.
inline void add_six_nodes(cluster_harness& cluster, fencing checks = fencing::checked)
{
    cluster.apply(json::array({divided_service("orders", 12)}));
    for (const std::string zone : {"a", "b", "c"}) {
        cluster.add_node(zone + "1", "zone-" + zone, "orders", checks);
        cluster.add_node(zone + "2", "zone-" + zone, "orders", checks);
    }
}

/// Adds and starts the six nodes and runs until the slices are balanced across them.
inline void start_balanced(cluster_harness& cluster)
{
    add_six_nodes(cluster);
    cluster.start_all();
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_served(); }, seconds(20)));
    cluster.run_for(seconds(60));
}

inline bool all_served_within(cluster_harness& cluster, duration limit)
{
    return cluster.run_until([&] { return cluster.all_served(); }, limit);
}

inline void expect_no_violations(const cluster_harness& cluster)
{
    for (const auto& violation : cluster.m_violations)
        ADD_FAILURE() << violation;
}

} // namespace azureladder::core::testing
