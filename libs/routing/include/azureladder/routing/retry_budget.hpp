#pragma once

#include <azureladder/routing/nested_calls.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace azureladder::routing {

/// Load pattern: a service turns requests away or fails them for seconds, and every node repeats.
/// The operator limits the repeats of all nodes together, for each service and window, to a share
/// of the requests of clients plus a fixed slack. A repeat counts when it arrives, and so does each
/// call that the repeated execution makes, at the service that it calls.
struct retry_budget_options
{
    /// Tokens added per request of a client; a repeat costs one token. Below the operator's ratio,
    /// because a repeat counts when it arrives, which may be in a later window.
    double m_tokens_per_request = 0.15;

    /// Maximum number of tokens of one node.
    double m_max_tokens = 4.0;

    /// Maximum number of tokens of all nodes together, below the operator's slack. Unused tokens
    /// can be spent in a window that has earned none.
    double m_max_total_tokens = 42.0;
};

/// Token bucket that is refilled by requests instead of time, so that an idle node accumulates no
/// tokens and the repeats of all nodes together stay below the ratio. A new process starts without
/// tokens, so that restarts don't add to the budget.
struct retry_budget
{
    double m_tokens = 0.0;
};

/// Budgets by service.
using retry_budgets = std::map<std::string, retry_budget>;

/// Maximum number of tokens of one of `node_count` nodes. At least one, since less allows no
/// repeat.
double max_tokens(const retry_budget_options& options, std::size_t node_count);

/// Adds the tokens of one request of a client, up to `max`. Calls of backend servers add none,
/// since the operator's limit doesn't count them as requests.
void record_request(retry_budget& budget, const retry_budget_options& options, double max);

/// Whether there are tokens for a repeat of a request to `service` whose execution makes these
/// calls: one token of the service, and for each called service its calls per execution.
bool may_retry(const retry_budgets& budgets, const std::string& service,
               const calls_by_service& calls);

/// Consumes the tokens of a repeat. Returns false, and consumes none, if there are too few.
bool take_retry(retry_budgets& budgets, const std::string& service, const calls_by_service& calls);

} // namespace azureladder::routing
