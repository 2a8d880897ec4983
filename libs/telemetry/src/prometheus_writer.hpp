#pragma once

#include <azureladder/telemetry/metrics.hpp>

#include <string>
#include <string_view>

/// Writes the Prometheus text exposition format 0.0.4.
namespace azureladder::telemetry {

/// Shortest decimal text that parses to the same number.
std::string format_number(double value);

/// Label value with backslash, quote and line feed escaped.
std::string escape_label(std::string_view value);

/// Labels in the form `{a="x",b="y"}`; empty without labels.
std::string format_labels(const metric_labels& labels);

void write_type(std::string& output, std::string_view name, std::string_view type);

void write_sample(std::string& output, std::string_view name, std::string_view labels,
                  std::string_view value);

/// Whether `name` is a valid name of a metric or label: [a-z_][a-z0-9_]*.
bool is_metric_name(std::string_view name);

} // namespace azureladder::telemetry
