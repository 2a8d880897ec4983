#pragma once

#include <azureladder/base/request_class.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/telemetry/metrics_options.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace azureladder::telemetry {

/// Names and values of the labels of one series.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Metrics of a process: latency histograms and counts of requests by service, customer and
/// class, and counters and gauges by name. Thread-safe.
///
/// Names of counters, gauges and labels match [a-z_][a-z0-9_]*. Counters and gauges appear as
/// `azureladder_<name>`; the name of a counter ends in `_total`.
class metrics
{
public:
    explicit metrics(const metrics_options& options = {});
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    /// Counts a finished request. `outcome` is "ok" or the name of an error code.
    void record_request(std::string_view service, std::string_view customer, request_class priority,
                        std::string_view outcome, duration latency);

    void add_counter(std::string_view name, std::uint64_t amount = 1,
                     const metric_labels& labels = {});

    /// Sets a counter whose value another component maintains. It must not decrease.
    void set_counter(std::string_view name, std::uint64_t value, const metric_labels& labels = {});

    void set_gauge(std::string_view name, double value, const metric_labels& labels = {});

    /// All series in the Prometheus text exposition format 0.0.4.
    std::string prometheus_text() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace azureladder::telemetry
