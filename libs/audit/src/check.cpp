#include "rules.hpp"

namespace azureladder::audit {

std::vector<violation> check(const history& events, const check_options& options)
{
    const auto executions = find_executions(events);
    const execution_index index(executions);
    const rule_input input{events, options, executions, index};
    violation_collector violations(events, options);
    check_overlapping_executions(input, violations);
    check_decreasing_epochs(input, violations);
    check_overlapping_ownership(input, violations);
    check_at_most_once(input, violations);
    check_responses(input, violations);
    check_router_refusals(input, violations);
    check_cold_bound(input, violations);
    check_removals(input, violations);
    check_configuration_monotonic(input, violations);
    check_configuration_in_effect(input, violations);
    check_graceful_stop(input, violations);
    return violations.take_violations();
}

} // namespace azureladder::audit
