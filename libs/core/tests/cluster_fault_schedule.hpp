#pragma once

#include "cluster_harness.hpp"

#include <string>
#include <vector>

namespace azureladder::core::testing {

enum class fault_kind
{
    kill_node,
    restart_node,
    pause_node,
    isolate_node,
    heal_node,
    block_link,
    heal_link,
    store_down,
    store_up,
    zone_out,
    zone_in,
    stop_node,
};

/// One step of a fault schedule.
struct fault_step
{
    fault_kind m_kind = fault_kind::kill_node;
    std::size_t m_node = 0;
    std::size_t m_other = 0;

    /// Duration of a pause, and delay until the next step.
    duration m_pause_time{0};
    duration m_delay_until_next{0};
};

std::string to_text(const fault_step& step);

/// Applies the step. Faults other than pauses last until a later step or `end_faults` ends them.
void apply_fault(cluster_harness& cluster, const fault_step& step);

/// Ends all faults: starts stopped nodes, restores links and the store, returns zones to service.
void end_faults(cluster_harness& cluster);

/// Generates a random schedule of `steps` steps from a seed.
std::vector<fault_step> make_schedule(std::uint64_t seed, std::size_t steps, std::size_t nodes);

} // namespace azureladder::core::testing
