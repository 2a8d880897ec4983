#pragma once

#include <azureladder/telemetry/metrics.hpp>

#include <string>
#include <string_view>

/// Parts of the Prometheus text exposition format 0.0.4.
namespace azureladder::telemetry {

/// Shortest text that reads back as the same number.
std::string format_number(double value);

/// Label value with backslash, quote and line feed escaped.
std::string escape_label(std::string_view value);

/// `{a="x",b="y"}`, or nothing without labels.
std::string format_labels(const metric_labels& labels);

void write_type(std::string& output, std::string_view name, std::string_view type);

void write_sample(std::string& output, std::string_view name, std::string_view labels,
                  std::string_view value);

/// Whether `name` may be used for a metric or a label.
bool is_metric_name(std::string_view name);

} // namespace azureladder::telemetry
