#pragma once

namespace azureladder::key_ranges {

/// Decaying sums of the requests for the keys of one owner. Executions and latencies cover several
/// seconds, because the speed of a backend server may fluctuate for some hundred milliseconds.
/// Arrivals cover less, so that a hot range is noticed soon.
struct owner_load
{
    /// Observed time of the arrivals, in seconds.
    double m_seconds = 0.0;

    /// Requests that arrived, whether they were executed or not.
    double m_arrivals = 0.0;

    /// Ended executions and the sum of their execution times in seconds.
    double m_executions = 0.0;
    double m_execution_seconds = 0.0;

    /// Responses to first attempts, and the sum of their latencies as fractions of the time that
    /// was left to their targets.
    double m_responses = 0.0;
    double m_latency_sum = 0.0;
};

/// Means of an owner's load, as its node reports them to the other owners.
struct owner_report
{
    /// Mean share of the backend server's slots that requests for its keys occupy. Above 1 if more
    /// requests arrive than it can execute.
    double m_utilization = 0.0;

    /// Utilization that one request per second causes: mean execution time in seconds by slots; 0
    /// if unknown.
    double m_utilization_per_request = 0.0;

    /// Mean latency at the gate as a fraction of the time to the target; 0 if unknown.
    double m_latency = 0.0;
};

void record_arrival(owner_load& load);

/// Records an ended execution that took `seconds`.
void record_execution(owner_load& load, double seconds);

/// Records the latency of a first attempt, as a fraction of the time to its target.
void record_latency(owner_load& load, double latency);

/// Adds an observed interval and multiplies the sums of executions and latencies by `factor`, those
/// of arrivals by `arrival_factor`.
void end_interval(owner_load& load, double interval_seconds, double factor, double arrival_factor);

/// Means of the sums for a backend server with `slots` slots that executes at most `max_rate`
/// requests per second while it is cold (0 for no limit). All are unknown (0) before
/// `min_executions` executions and responses.
owner_report make_owner_report(const owner_load& load, unsigned slots, double max_rate,
                               double min_executions);

} // namespace azureladder::key_ranges
