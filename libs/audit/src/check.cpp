#include "rules.hpp"

namespace azureladder::audit {

std::vector<violation> check(const history& events, const check_options& options)
{
    const auto executions = find_executions(events);
    const execution_index index(executions);
    const rule_input input{events, options, executions, index};
    findings found(events, options);
    check_overlapping_executions(input, found);
    check_decreasing_epochs(input, found);
    check_overlapping_ownership(input, found);
    check_at_most_once(input, found);
    check_answers(input, found);
    check_router_refusals(input, found);
    check_cold_bound(input, found);
    check_removals(input, found);
    check_configuration_monotonic(input, found);
    check_configuration_in_effect(input, found);
    check_graceful_stop(input, found);
    return found.take();
}

} // namespace azureladder::audit
