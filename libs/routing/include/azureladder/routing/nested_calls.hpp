#pragma once

#include <map>
#include <string>

namespace azureladder::routing {

/// Mean number of calls by called service.
using calls_by_service = std::map<std::string, double>;

/// Counts of the calls that a backend server makes while it executes requests. They decay, so that
/// recent executions count most.
struct nested_calls
{
    double m_executions = 0.0;
    calls_by_service m_calls;
};

/// Records the start of an execution of a request that is not a call itself.
void record_execution(nested_calls& counts);

/// Records a call to `service`.
void record_call(nested_calls& counts, const std::string& service);

/// Calls per execution by called service; empty after too few executions to tell.
calls_by_service calls_per_execution(const nested_calls& counts);

} // namespace azureladder::routing
