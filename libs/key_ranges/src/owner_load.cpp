#include <azureladder/key_ranges/owner_load.hpp>

#include <algorithm>
#include <initializer_list>

namespace azureladder::key_ranges {

void record_arrival(owner_load& load)
{
    load.m_arrivals += 1.0;
}

void record_execution(owner_load& load, double seconds)
{
    load.m_executions += 1.0;
    load.m_execution_seconds += seconds;
}

void record_latency(owner_load& load, double latency)
{
    load.m_responses += 1.0;
    load.m_latency_sum += latency;
}

void end_interval(owner_load& load, double interval_seconds, double factor, double arrival_factor)
{
    load.m_seconds = (load.m_seconds + interval_seconds) * arrival_factor;
    load.m_arrivals *= arrival_factor;
    for (double* sum :
         {&load.m_executions, &load.m_execution_seconds, &load.m_responses, &load.m_latency_sum})
        *sum *= factor;
}

owner_report make_owner_report(const owner_load& load, unsigned slots, double max_rate,
                               double min_executions)
{
    owner_report report;
    if (slots == 0 || load.m_seconds <= 0.0 || load.m_executions < min_executions ||
        load.m_responses < min_executions)
        return report;
    report.m_utilization_per_request = load.m_execution_seconds / load.m_executions / slots;
    if (max_rate > 0.0)
        report.m_utilization_per_request =
            std::max(report.m_utilization_per_request, 1.0 / max_rate);
    report.m_utilization = load.m_arrivals / load.m_seconds * report.m_utilization_per_request;
    report.m_latency = load.m_latency_sum / load.m_responses;
    return report;
}

} // namespace azureladder::key_ranges
