#pragma once

#include <azureladder/audit/check.hpp>
#include <azureladder/audit/trace.hpp>
#include <azureladder/base/json.hpp>

#include <string>
#include <vector>

namespace azureladder::audit {

/// One line of text with the time, name and fields of an event.
std::string summary(const event& line);

std::string to_text(const violation& found);
json to_json(const violation& found);

std::string to_text(const request_trace& steps);
json to_json(const request_trace& steps);

/// Complete report: violations, malformed lines, and numbers of logs and events read.
std::string report_text(const history& events, const std::vector<violation>& found);
json report_json(const history& events, const std::vector<violation>& found);

} // namespace azureladder::audit
