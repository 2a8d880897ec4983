#pragma once

namespace azureladder::routing {

struct retry_budget_options
{
    /// Tokens added per request; a retry on another backend server costs one token. Below the
    /// operator's ratio, because a retry counts when it arrives, which may be in a later window.
    double m_tokens_per_request = 0.15;

    /// Maximum number of tokens.
    double m_max_tokens = 4.0;
};

/// Token bucket that is refilled by requests instead of time, so that an idle node accumulates no
/// tokens and the retries of all nodes together stay below the ratio.
struct retry_budget
{
    double m_tokens = 1.0;
};

/// Adds the tokens of one request, up to the maximum.
void record_request(retry_budget& budget, const retry_budget_options& options);

/// Consumes one token. Returns false if there is none.
bool take_retry(retry_budget& budget);

} // namespace azureladder::routing
