#pragma once

#include "call.hpp"
#include "latency_histogram.hpp"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace azureladder::load {

/// Counts and latencies of all calls of a run.
class statistics
{
public:
    explicit statistics(const load_settings& settings);

    /// Counts an issued call. `lag` is the time from its scheduled arrival until it was issued.
    void started(const planned_call& plan, duration lag);
    void finished(const call& issued, const call_outcome& outcome, duration latency);
    void repeated() { ++m_repeated; }
    void waited_for_connection() { ++m_waited; }

    /// Report of the run; README.md lists the fields.
    json report(duration elapsed) const;

private:
    struct group
    {
        latency_histogram m_latency;
        std::uint64_t m_executed[std::size(executed_names)] = {};
    };

    /// One second of the schedule of one service.
    struct second_counts
    {
        std::uint64_t m_started = 0;
        std::uint64_t m_ok = 0;
        std::uint64_t m_failed = 0;
        latency_histogram m_latency;
    };

    second_counts& second_of(const planned_call& plan);
    json lag_report() const;
    json results_report() const;
    json services_report(duration elapsed) const;
    json series_report() const;

    const load_settings& m_settings;
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_repeated = 0;
    std::uint64_t m_waited = 0;
    latency_histogram m_lag;

    /// By service, class and outcome.
    std::map<std::tuple<std::size_t, std::string, std::string>, group> m_groups;
    std::vector<std::vector<second_counts>> m_series;
};

} // namespace azureladder::load
