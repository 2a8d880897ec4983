#include <azureladder/telemetry/metrics.hpp>

#include "latency_histogram.hpp"
#include "prometheus_writer.hpp"

#include <azureladder/base/precondition.hpp>

#include <map>
#include <mutex>
#include <set>
#include <tuple>

namespace azureladder::telemetry {

namespace {

constexpr const char* metric_prefix = "azureladder_";
constexpr const char* latency_metric = "azureladder_request_duration_seconds";
constexpr const char* requests_metric = "azureladder_requests_total";
constexpr const char* overflow_label_value = "other";

/// Service, customer and class.
using request_key = std::tuple<std::string, std::string, request_class>;

/// Metric family: values of its series by their formatted labels.
template <class Value>
using family = std::map<std::string, Value>;

metric_labels labels_of(const request_key& key)
{
    return {{"service", std::get<0>(key)},
            {"customer", std::get<1>(key)},
            {"class", std::string(to_string(std::get<2>(key)))}};
}

/// Returns `name` if it is in `known` or fewer than `limit` names are, else `overflow_label_value`.
std::string limit_cardinality(std::set<std::string, std::less<>>& known, std::string_view name,
                              std::size_t limit)
{
    if (known.find(name) == known.end()) {
        if (known.size() >= limit)
            return overflow_label_value;
        known.emplace(name);
    }
    return std::string(name);
}

template <class Value, class Format>
void write_families(std::string& output, const std::map<std::string, family<Value>>& families,
                    std::string_view type, Format format)
{
    for (const auto& [name, series] : families) {
        write_type(output, name, type);
        for (const auto& [labels, value] : series)
            write_sample(output, name, labels, format(value));
    }
}

std::string make_metric_name(std::string_view name, const metric_labels& labels)
{
    AZURELADDER_PRECONDITION(is_metric_name(name), "a metric name must match [a-z_][a-z0-9_]*");
    for (const auto& label : labels)
        AZURELADDER_PRECONDITION(is_metric_name(label.first),
                                 "a label name must match [a-z_][a-z0-9_]*");
    return std::string(metric_prefix).append(name);
}

} // namespace

class metrics::impl
{
public:
    explicit impl(const metrics_options& options) : m_options(options) {}

    void record_request(std::string_view service, std::string_view customer, request_class priority,
                        std::string_view outcome, duration latency)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const request_key key(limit_cardinality(m_services, service, m_options.m_max_services),
                              limit_cardinality(m_customers, customer, m_options.m_max_customers),
                              priority);
        m_latencies[key].add(latency);
        ++m_outcomes[key][std::string(outcome)];
    }

    std::uint64_t& counter(const std::string& name, const metric_labels& labels)
    {
        return m_counters[name][format_labels(labels)];
    }

    double& gauge(const std::string& name, const metric_labels& labels)
    {
        return m_gauges[name][format_labels(labels)];
    }

    std::string text() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::string output;
        write_requests(output);
        write_families(output, m_counters, "counter",
                       [](std::uint64_t value) { return std::to_string(value); });
        write_families(output, m_gauges, "gauge", format_number);
        return output;
    }

    std::mutex& mutex() const { return m_mutex; }

private:
    void write_requests(std::string& output) const
    {
        if (m_latencies.empty())
            return;
        write_type(output, latency_metric, "histogram");
        for (const auto& [key, histogram] : m_latencies)
            histogram.write(output, latency_metric, labels_of(key));
        write_type(output, requests_metric, "counter");
        for (const auto& [key, outcomes] : m_outcomes) {
            auto labels = labels_of(key);
            auto& outcome = labels.emplace_back("outcome", "").second;
            for (const auto& [name, count] : outcomes) {
                outcome = name;
                write_sample(output, requests_metric, format_labels(labels), std::to_string(count));
            }
        }
    }

    metrics_options m_options;
    mutable std::mutex m_mutex;
    std::set<std::string, std::less<>> m_services;
    std::set<std::string, std::less<>> m_customers;
    std::map<request_key, latency_histogram> m_latencies;
    std::map<request_key, std::map<std::string, std::uint64_t>> m_outcomes;
    std::map<std::string, family<std::uint64_t>> m_counters;
    std::map<std::string, family<double>> m_gauges;
};

metrics::metrics(const metrics_options& options) : m_impl(std::make_unique<impl>(options)) {}

metrics::~metrics() = default;

void metrics::record_request(std::string_view service, std::string_view customer,
                             request_class priority, std::string_view outcome, duration latency)
{
    m_impl->record_request(service, customer, priority, outcome, latency);
}

void metrics::add_counter(std::string_view name, std::uint64_t amount, const metric_labels& labels)
{
    const auto full_name = make_metric_name(name, labels);
    const std::lock_guard<std::mutex> lock(m_impl->mutex());
    m_impl->counter(full_name, labels) += amount;
}

void metrics::set_counter(std::string_view name, std::uint64_t value, const metric_labels& labels)
{
    const auto full_name = make_metric_name(name, labels);
    const std::lock_guard<std::mutex> lock(m_impl->mutex());
    m_impl->counter(full_name, labels) = value;
}

void metrics::set_gauge(std::string_view name, double value, const metric_labels& labels)
{
    const auto full_name = make_metric_name(name, labels);
    const std::lock_guard<std::mutex> lock(m_impl->mutex());
    m_impl->gauge(full_name, labels) = value;
}

std::string metrics::prometheus_text() const
{
    return m_impl->text();
}

} // namespace azureladder::telemetry
