#include <azureladder/routing/retry_budget.hpp>

#include <algorithm>

namespace azureladder::routing {

namespace {

/// Tokens of each service that a repeat consumes.
calls_by_service repeat_cost(const std::string& service, const calls_by_service& calls)
{
    calls_by_service cost = calls;
    cost[service] += 1.0;
    return cost;
}

bool has_tokens(const retry_budgets& budgets, const calls_by_service& cost)
{
    return std::all_of(cost.begin(), cost.end(), [&](const auto& entry) {
        const auto budget = budgets.find(entry.first);
        return budget != budgets.end() && budget->second.m_tokens >= entry.second;
    });
}

} // namespace

double max_tokens(const retry_budget_options& options, std::size_t node_count)
{
    const double share =
        options.m_max_total_tokens / static_cast<double>(std::max<std::size_t>(node_count, 1));
    return std::clamp(share, 1.0, std::max(options.m_max_tokens, 1.0));
}

void record_request(retry_budget& budget, const retry_budget_options& options, double max)
{
    budget.m_tokens = std::min(max, budget.m_tokens + options.m_tokens_per_request);
}

bool may_retry(const retry_budgets& budgets, const std::string& service,
               const calls_by_service& calls)
{
    return has_tokens(budgets, repeat_cost(service, calls));
}

bool take_retry(retry_budgets& budgets, const std::string& service, const calls_by_service& calls)
{
    const calls_by_service cost = repeat_cost(service, calls);
    if (!has_tokens(budgets, cost))
        return false;
    for (const auto& [name, tokens] : cost)
        budgets[name].m_tokens -= tokens;
    return true;
}

} // namespace azureladder::routing
