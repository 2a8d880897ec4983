#include "latency_histogram.hpp"

#include "prometheus_writer.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace azureladder::telemetry {

namespace {

/// About six buckets per decade, so that percentiles are accurate to a factor of 1.5.
constexpr int bound_count = 47;
constexpr double lowest_bound_us = 1.0;
constexpr double highest_bound_us = 60e6;
constexpr double us_per_second = 1e6;

std::string format_bound(double bound_us)
{
    char buffer[32];
    const int length = std::snprintf(buffer, sizeof buffer, "%.3g", bound_us / us_per_second);
    return {buffer, std::size_t(length)};
}

/// Rounds the bounds to three significant digits, so that the `le` labels are short and exact.
std::vector<double> make_bounds()
{
    std::vector<double> result;
    result.reserve(bound_count);
    const double ratio = highest_bound_us / lowest_bound_us;
    for (int i = 0; i < bound_count; ++i) {
        const double exact = lowest_bound_us * std::pow(ratio, double(i) / (bound_count - 1));
        result.push_back(std::stod(format_bound(exact)) * us_per_second);
    }
    return result;
}

} // namespace

const std::vector<double>& latency_axis::bounds_us()
{
    static const std::vector<double> bounds = make_bounds();
    return bounds;
}

int latency_axis::index(double latency_us) const
{
    const auto& bounds = bounds_us();
    return int(std::lower_bound(bounds.begin(), bounds.end(), latency_us) - bounds.begin());
}

latency_histogram::latency_histogram()
    : m_histogram(std::make_tuple(latency_axis()), boost::histogram::default_storage())
{
}

void latency_histogram::add(duration latency)
{
    const auto us = std::max<duration::rep>(latency.count(), 0);
    m_histogram(double(us));
    m_sum_us += std::uint64_t(us);
    ++m_count;
}

void latency_histogram::write(std::string& output, std::string_view name,
                              const metric_labels& labels) const
{
    const std::string bucket_name = std::string(name) + "_bucket";
    auto bucket_labels = labels;
    auto& bound = bucket_labels.emplace_back("le", "").second;
    const auto& bounds = latency_axis::bounds_us();
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        cumulative += std::uint64_t(double(m_histogram.at(int(i))));
        bound = format_bound(bounds[i]);
        write_sample(output, bucket_name, format_labels(bucket_labels), std::to_string(cumulative));
    }
    bound = "+Inf";
    write_sample(output, bucket_name, format_labels(bucket_labels), std::to_string(m_count));
    const auto suffix = format_labels(labels);
    write_sample(output, std::string(name) + "_sum", suffix,
                 format_number(double(m_sum_us) / us_per_second));
    write_sample(output, std::string(name) + "_count", suffix, std::to_string(m_count));
}

} // namespace azureladder::telemetry
