#pragma once

namespace azureladder::routing {

struct retry_budget_options
{
    /// Executions on a further backend server for each request taken. Below the operator's ratio,
    /// because an execution counts where it arrives, which may be a later window.
    double m_ratio = 0.15;

    /// Largest number of saved executions.
    double m_burst = 4.0;
};

/// Token bucket that is filled by requests, not by time, so that a node without load saves nothing
/// and all nodes together stay below the ratio.
struct retry_budget
{
    double m_tokens = 1.0;
};

void record_request(retry_budget& budget, const retry_budget_options& options);

/// Takes one token; false when there is none.
bool take_retry(retry_budget& budget);

} // namespace azureladder::routing
