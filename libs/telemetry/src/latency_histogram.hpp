#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/telemetry/metrics.hpp>

#include <boost/histogram.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace azureladder::telemetry {

/// Axis of Boost.Histogram with inclusive upper bounds at roughly equal ratios, as Prometheus
/// requires. The regular axis has exclusive upper bounds and is stored with each histogram. The
/// last bucket holds values above the highest bound.
class latency_axis
{
public:
    /// Upper bounds in microseconds.
    static const std::vector<double>& bounds_us();

    int index(double latency_us) const;
    int size() const { return int(bounds_us().size()) + 1; }
};

/// Histogram of latencies from one microsecond to one minute.
class latency_histogram
{
public:
    latency_histogram();

    void add(duration latency);

    /// Appends the samples of the Prometheus histogram `name`.
    void write(std::string& output, std::string_view name, const metric_labels& labels) const;

private:
    /// The default storage starts with one byte per bucket, which keeps the many histograms of
    /// customers with few requests small.
    using histogram_type = boost::histogram::histogram<std::tuple<latency_axis>>;

    histogram_type m_histogram;
    std::uint64_t m_count = 0;
    std::uint64_t m_sum_us = 0;
};

} // namespace azureladder::telemetry
