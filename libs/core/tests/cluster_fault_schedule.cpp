#include "cluster_fault_schedule.hpp"

#include "cluster_scenarios.hpp"

namespace azureladder::core::testing {

namespace {

constexpr enum_name<fault_kind> fault_names[] = {
    {fault_kind::kill_node, "kill"},      {fault_kind::restart_node, "restart"},
    {fault_kind::pause_node, "pause"},    {fault_kind::isolate_node, "isolate"},
    {fault_kind::heal_node, "heal_node"}, {fault_kind::block_link, "block_link"},
    {fault_kind::heal_link, "heal_link"}, {fault_kind::store_down, "store_down"},
    {fault_kind::store_up, "store_up"},   {fault_kind::zone_out, "zone_out"},
    {fault_kind::zone_in, "zone_in"},     {fault_kind::stop_node, "stop"},
};

} // namespace

std::string to_text(const fault_step& step)
{
    return std::string(find_enum_name(fault_names, step.m_kind)) + " " +
           std::to_string(step.m_node) + " " + std::to_string(step.m_other) + " for " +
           std::to_string(to_ms(step.m_pause_time)) + " ms, then " +
           std::to_string(to_ms(step.m_delay_until_next)) + " ms";
}

void apply_fault(cluster_harness& cluster, const fault_step& step)
{
    const auto names = cluster.names();
    const auto& name = names[step.m_node % names.size()];
    const auto& other = names[step.m_other % names.size()];
    auto& node = cluster.node(name);
    switch (step.m_kind) {
    case fault_kind::kill_node:
        cluster.kill(name);
        break;
    case fault_kind::restart_node:
        if (!node.m_running)
            cluster.start(name);
        break;
    case fault_kind::pause_node:
        cluster.pause(name, step.m_pause_time);
        break;
    case fault_kind::isolate_node:
    case fault_kind::heal_node:
        cluster.set_isolated(name, step.m_kind == fault_kind::isolate_node);
        break;
    case fault_kind::block_link:
    case fault_kind::heal_link:
        cluster.set_blocked(name, other, step.m_kind == fault_kind::block_link);
        break;
    case fault_kind::store_down:
    case fault_kind::store_up:
        cluster.m_store.m_down = step.m_kind == fault_kind::store_down;
        break;
    case fault_kind::zone_out:
    case fault_kind::zone_in:
        cluster.apply(json::array({zone_state(
            node.m_identity.m_zone, step.m_kind == fault_kind::zone_out ? "out" : "in")}));
        break;
    case fault_kind::stop_node:
        if (node.m_running)
            cluster.stop(name);
        break;
    }
}

void end_faults(cluster_harness& cluster)
{
    cluster.m_faults = fault_options{};
    cluster.m_store.m_down = false;
    const auto names = cluster.names();
    for (const auto& name : names) {
        cluster.set_isolated(name, false);
        for (const auto& other : names)
            cluster.set_blocked(name, other, false);
        if (!cluster.node(name).m_running)
            cluster.start(name);
        cluster.apply(json::array({zone_state(cluster.node(name).m_identity.m_zone, "in")}));
    }
}

std::vector<fault_step> make_schedule(std::uint64_t seed, std::size_t steps, std::size_t nodes)
{
    constexpr std::uint64_t longest_pause_ms = 4000;
    constexpr std::uint64_t longest_wait_ms = 3000;
    random_source random{seed};
    std::vector<fault_step> schedule;
    for (std::size_t i = 0; i < steps; ++i) {
        fault_step step;
        step.m_kind = fault_kind(random_below(random, std::size(fault_names)));
        step.m_node = random_below(random, nodes);
        step.m_other = random_below(random, nodes);
        step.m_pause_time = milliseconds(std::int64_t(random_below(random, longest_pause_ms)));
        step.m_delay_until_next = milliseconds(std::int64_t(random_below(random, longest_wait_ms)));
        schedule.push_back(step);
    }
    return schedule;
}

} // namespace azureladder::core::testing
