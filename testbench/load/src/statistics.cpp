#include "statistics.hpp"

#include <algorithm>

namespace azureladder::load {

namespace {

constexpr double us_per_s = 1e6;
constexpr double lag_percentile = 0.99;

double per_second(std::uint64_t count, duration elapsed)
{
    return elapsed.count() == 0 ? 0 : double(count) * us_per_s / double(elapsed.count());
}

} // namespace

statistics::statistics(const load_settings& settings)
    : m_settings(settings), m_series(settings.m_services.size())
{
}

statistics::second_counts& statistics::second_of(const planned_call& plan)
{
    auto& series = m_series[plan.m_service];
    const auto second = std::size_t(plan.m_arrival / seconds(1));
    if (second >= series.size())
        series.resize(second + 1);
    return series[second];
}

void statistics::started(const planned_call& plan, duration lag)
{
    ++m_started;
    m_lag.add(lag);
    ++second_of(plan).m_started;
}

void statistics::finished(const call& issued, const call_outcome& outcome, duration latency)
{
    ++m_finished;
    auto& counts = m_groups[{issued.m_plan.m_service, issued.m_plan.m_class, outcome.m_name}];
    counts.m_latency.add(latency);
    ++counts.m_executed[std::size_t(outcome.m_executed)];
    auto& second = second_of(issued.m_plan);
    ++(outcome.m_name == "ok" ? second.m_ok : second.m_failed);
    second.m_latency.add(latency);
}

json statistics::lag_report() const
{
    return {{"latency_us", m_lag.to_json()},
            {"limit_us", m_settings.m_max_lag.count()},
            {"waited_for_connection", m_waited},
            {"schedule_kept", m_lag.percentile(lag_percentile) <= m_settings.m_max_lag}};
}

json statistics::results_report() const
{
    auto results = json::array();
    for (const auto& [key, counts] : m_groups) {
        const auto& [service, request_class, outcome] = key;
        json executed_counts;
        for (const auto& row : executed_names)
            executed_counts[std::string(row.m_name)] = counts.m_executed[std::size_t(row.m_value)];
        results.push_back({{"service", m_settings.m_services[service].m_name},
                           {"class", request_class},
                           {"outcome", outcome},
                           {"count", counts.m_latency.count()},
                           {"executed", executed_counts},
                           {"latency_us", counts.m_latency.to_json()}});
    }
    return results;
}

json statistics::services_report(duration elapsed) const
{
    auto services = json::array();
    for (std::size_t i = 0; i < m_settings.m_services.size(); ++i) {
        latency_histogram ok;
        std::uint64_t finished = 0;
        for (const auto& [key, counts] : m_groups) {
            if (std::get<0>(key) != i)
                continue;
            finished += counts.m_latency.count();
            if (std::get<2>(key) == "ok")
                ok.add(counts.m_latency);
        }
        services.push_back({{"service", m_settings.m_services[i].m_name},
                            {"finished", finished},
                            {"ok", ok.count()},
                            {"ok_per_s", per_second(ok.count(), elapsed)},
                            {"ok_latency_us", ok.to_json()}});
    }
    return services;
}

json statistics::series_report() const
{
    auto series = json::array();
    for (std::size_t service = 0; service < m_series.size(); ++service) {
        for (std::size_t second = 0; second < m_series[service].size(); ++second) {
            const auto& counts = m_series[service][second];
            series.push_back({{"service", m_settings.m_services[service].m_name},
                              {"second", second},
                              {"started", counts.m_started},
                              {"ok", counts.m_ok},
                              {"failed", counts.m_failed},
                              {"latency_us", counts.m_latency.to_json()}});
        }
    }
    return series;
}

json statistics::report(duration elapsed) const
{
    return {{"seed", m_settings.m_seed},
            {"elapsed_us", elapsed.count()},
            {"started", m_started},
            {"finished", m_finished},
            {"repeats", m_repeated},
            {"throughput_per_s", per_second(m_finished, elapsed)},
            {"lag", lag_report()},
            {"results", results_report()},
            {"services", services_report(elapsed)},
            {"series", series_report()}};
}

} // namespace azureladder::load
