#include "cluster_fault_schedule.hpp"
#include "cluster_scenarios.hpp"

#include <azureladder/core/ownership.hpp>

#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

namespace azureladder::core::testing {

namespace {

constexpr std::size_t node_count = 6;

/// Returns the value of an environment variable, which sets the seed or length of manual runs; CI
/// uses the defaults.
std::uint64_t environment_number(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? fallback : std::stoull(text);
}

/// Runs a schedule on a network that drops and duplicates messages; returns invariant violations.
std::vector<std::string> run_schedule(std::uint64_t seed, const std::vector<fault_step>& steps)
{
    cluster_harness cluster(seed);
    add_six_nodes(cluster);
    // The design (section 3.3) assumes clock rates that differ by at most 2 %.
    cluster.node("a1").m_clock_rate_error_permille = 10;
    cluster.node("b1").m_clock_rate_error_permille = -9;
    cluster.m_faults.m_loss = 20;
    cluster.m_faults.m_duplication = 20;
    cluster.m_faults.m_max_delay = milliseconds(40);
    cluster.m_faults.m_store_lost_answers = 50;
    cluster.start_all();
    cluster.run_for(seconds(10));
    for (const auto& step : steps) {
        apply_fault(cluster, step);
        cluster.run_for(step.m_delay_until_next);
    }
    return cluster.m_violations;
}

std::string describe(std::uint64_t seed, const std::vector<fault_step>& steps)
{
    std::string text = "seed " + std::to_string(seed);
    for (const auto& step : steps)
        text += "\n" + to_text(step);
    return text;
}

} // namespace

// Guards against two owners of a slice and against decreasing epochs under combined faults.
TEST(ownership_property, one_owner_under_combined_faults)
{
    rc::detail::TestParams params;
    params.seed = environment_number("AZURELADDER_PROPERTY_SEED", 20261204);
    params.maxSuccess = int(environment_number("AZURELADDER_PROPERTY_RUNS", 60));
    rc::detail::TestMetadata metadata;
    const auto property = [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        const auto schedule = make_schedule(seed, 12, node_count);
        const auto violations = run_schedule(seed, schedule);
        if (!violations.empty())
            RC_FAIL(violations.front() + "\n" + describe(seed, schedule));
    };
    const auto result = rc::detail::checkTestable(property, metadata, params);
    rc::detail::printResultMessage(result, std::cerr);
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>());
}

// Guards against slices that remain without an owner after failures that the design tolerates: one
// node at a time crashes, is suspended or is partitioned, sometimes while the store is unavailable.
TEST(ownership_property, every_slice_is_served_again_after_single_faults)
{
    const auto first = environment_number("AZURELADDER_PROPERTY_SEED", 1);
    const auto last = first + environment_number("AZURELADDER_PROPERTY_RUNS", 5);
    for (std::uint64_t seed = first; seed < last; ++seed) {
        cluster_harness cluster(seed);
        add_six_nodes(cluster);
        cluster.m_faults.m_loss = 10;
        cluster.m_faults.m_store_lost_answers = 50;
        cluster.start_all();
        cluster.run_for(seconds(30));
        for (auto step : make_schedule(seed, 6, node_count)) {
            apply_fault(cluster, step);
            cluster.run_for(step.m_delay_until_next);
            end_faults(cluster);
            cluster.run_for(seconds(20));
        }
        EXPECT_TRUE(all_served_within(cluster, seconds(30)))
            << "seed " << seed << cluster.describe_unserved_slices();
        expect_no_violations(cluster);
    }
}

} // namespace azureladder::core::testing
