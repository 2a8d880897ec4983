#include <azureladder/routing/nested_calls.hpp>

namespace azureladder::routing {

namespace {

/// Executions after which all counts are halved.
constexpr double max_executions = 400.0;

/// Executions below which a mean is not reported.
constexpr double min_executions = 10.0;

/// Means below this are not reported: such calls are rare or belong to other executions.
constexpr double min_calls = 0.02;

} // namespace

void record_execution(nested_calls& counts)
{
    counts.m_executions += 1.0;
    if (counts.m_executions < max_executions)
        return;
    counts.m_executions /= 2.0;
    for (auto& [service, calls] : counts.m_calls)
        calls /= 2.0;
}

void record_call(nested_calls& counts, const std::string& service)
{
    counts.m_calls[service] += 1.0;
}

calls_by_service calls_per_execution(const nested_calls& counts)
{
    calls_by_service result;
    if (counts.m_executions < min_executions)
        return result;
    for (const auto& [service, calls] : counts.m_calls) {
        if (calls / counts.m_executions >= min_calls)
            result[service] = calls / counts.m_executions;
    }
    return result;
}

} // namespace azureladder::routing
