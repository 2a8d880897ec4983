#pragma once

#include "execution_index.hpp"
#include "violation_collector.hpp"

namespace azureladder::audit {

/// Input of the rules.
struct rule_input
{
    const history& m_history;
    const check_options& m_options;
    const std::vector<execution>& m_executions;
    const execution_index& m_index;
};

/// First acceptance of each revision, in the order of time. A line with an older revision than one
/// accepted before it is skipped, because every node that receives an acceptance may log it.
std::vector<const event*> accepted_changes(const history& events);

void check_overlapping_executions(const rule_input& input, violation_collector& violations);
void check_decreasing_epochs(const rule_input& input, violation_collector& violations);
void check_overlapping_ownership(const rule_input& input, violation_collector& violations);
void check_at_most_once(const rule_input& input, violation_collector& violations);
void check_cold_bound(const rule_input& input, violation_collector& violations);
void check_removals(const rule_input& input, violation_collector& violations);
void check_responses(const rule_input& input, violation_collector& violations);
void check_router_refusals(const rule_input& input, violation_collector& violations);
void check_configuration_monotonic(const rule_input& input, violation_collector& violations);
void check_configuration_in_effect(const rule_input& input, violation_collector& violations);
void check_graceful_stop(const rule_input& input, violation_collector& violations);

} // namespace azureladder::audit
