#include <azureladder/routing/retry_budget.hpp>

#include <algorithm>

namespace azureladder::routing {

void record_request(retry_budget& budget, const retry_budget_options& options)
{
    budget.m_tokens =
        std::min(options.m_max_tokens, budget.m_tokens + options.m_tokens_per_request);
}

bool take_retry(retry_budget& budget)
{
    if (budget.m_tokens < 1.0)
        return false;
    budget.m_tokens -= 1.0;
    return true;
}

} // namespace azureladder::routing
