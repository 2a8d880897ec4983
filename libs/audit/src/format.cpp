#include <azureladder/audit/format.hpp>

#include <map>

namespace azureladder::audit {

namespace {

void append(std::string& text, const char* name, const std::string& value)
{
    if (!value.empty())
        text += std::string(" ") + name + "=" + value;
}

void append(std::string& text, const char* name, std::uint64_t value)
{
    if (value != 0)
        append(text, name, std::to_string(value));
}

void append(std::string& text, const char* name, const std::vector<std::string>& values)
{
    std::string joined;
    for (const auto& value : values)
        joined += (joined.empty() ? "" : ",") + value;
    append(text, name, joined);
}

void append_changes(std::string& text, const service_changes& changes)
{
    append(text, "removed_zones", changes.m_removed_zones);
    append(text, "returned_zones", changes.m_returned_zones);
    append(text, "removed_servers", changes.m_removed_servers);
    append(text, "returned_servers", changes.m_returned_servers);
}

void append_outcome(std::string& text, const event& line)
{
    append(text, "status", std::uint64_t(line.m_status));
    if (line.m_executed)
        append(text, "executed", std::string(to_string(*line.m_executed)));
    append(text, "echoed_request_id", line.m_echoed_request_id);
    append(text, "echoed_key", line.m_echoed_key);
    if (!line.m_is_complete)
        append(text, "whole", std::string("false"));
    append(text, "reason", line.m_reason);
    append(text, "detail", line.m_detail);
}

std::string position_text(const history& events, const log_position& position)
{
    return events.m_files.at(position.m_file) + ":" + std::to_string(position.m_line);
}

json lines_json(const std::vector<log_line>& lines)
{
    auto list = json::array();
    for (const auto& line : lines)
        list.push_back({{"file", line.m_file}, {"line", line.m_line}, {"summary", line.m_summary}});
    return list;
}

std::map<std::string, std::size_t> counts_by_rule(const std::vector<violation>& found)
{
    std::map<std::string, std::size_t> counts;
    for (const auto& row : rule_names)
        counts[std::string(row.m_name)] = 0;
    for (const auto& one : found)
        ++counts[std::string(to_string(one.m_rule))];
    return counts;
}

} // namespace

std::string summary(const event& line)
{
    std::string text = std::to_string(line.m_time_us) + " " + std::string(to_string(line.m_kind));
    append(text, "node", line.m_node);
    append(text, "incarnation", line.m_incarnation);
    append(text, "server", line.m_server);
    append(text, "zone", line.m_zone);
    append(text, "request_id", line.m_request_id);
    append(text, "attempt", line.m_attempt);
    append(text, "service", line.m_service);
    append(text, "key", line.m_key);
    append(text, "method", line.m_method);
    append(text, "idempotency_key", line.m_idempotency_key);
    if (!line.m_slice.m_space.empty())
        append(text, "slice", line.m_slice.m_space + "#" + std::to_string(line.m_slice.m_index));
    append(text, "epoch", line.m_epoch);
    append(text, "revision", line.m_revision);
    append(text, "in_flight", line.m_in_flight);
    if (line.m_concurrency_limit)
        append(text, "bound", std::to_string(*line.m_concurrency_limit));
    append(text, "role", line.m_role);
    if (line.m_changes)
        append_changes(text, *line.m_changes);
    append_outcome(text, line);
    return text;
}

std::string to_text(const violation& found)
{
    auto text = std::string(to_string(found.m_rule)) + ": " + found.m_message + "\n";
    for (const auto& line : found.m_lines)
        text +=
            "  " + line.m_file + ":" + std::to_string(line.m_line) + ": " + line.m_summary + "\n";
    return text;
}

json to_json(const violation& found)
{
    return {{"rule", to_string(found.m_rule)},
            {"message", found.m_message},
            {"lines", lines_json(found.m_lines)}};
}

std::string to_text(const request_trace& steps)
{
    auto text = "request " + steps.m_request_id + "\n";
    if (steps.m_steps.empty())
        text += "  no log line has this request id\n";
    for (const auto& step : steps.m_steps) {
        text += "  +" + std::to_string(step.m_offset_us) + " us " + step.m_source + ": " +
                step.m_summary + " (" + step.m_file + ":" + std::to_string(step.m_line) + ")\n";
    }
    for (const auto& related : steps.m_related)
        text += "  other request with the same idempotency key: " + related + "\n";
    return text;
}

json to_json(const request_trace& steps)
{
    auto list = json::array();
    for (const auto& step : steps.m_steps) {
        list.push_back({{"offset_us", step.m_offset_us},
                        {"source", step.m_source},
                        {"summary", step.m_summary},
                        {"file", step.m_file},
                        {"line", step.m_line}});
    }
    return {{"request_id", steps.m_request_id}, {"steps", list}, {"related", steps.m_related}};
}

std::string report_text(const history& events, const std::vector<violation>& found)
{
    std::string text;
    for (const auto& one : found)
        text += to_text(one);
    for (const auto& line : events.m_malformed)
        text += position_text(events, line.m_position) +
                (line.m_is_truncated ? ": truncated last line: " : ": malformed line: ") +
                line.m_reason + "\n";
    text += std::to_string(events.m_files.size()) + " logs, " +
            std::to_string(events.m_events.size()) + " events, " +
            std::to_string(events.m_malformed_count) + " malformed lines, " +
            std::to_string(found.size()) + " violations\n";
    return text;
}

json report_json(const history& events, const std::vector<violation>& found)
{
    auto violations = json::array();
    for (const auto& one : found)
        violations.push_back(to_json(one));
    auto malformed = json::array();
    for (const auto& line : events.m_malformed)
        malformed.push_back({{"position", position_text(events, line.m_position)},
                             {"cut", line.m_is_truncated},
                             {"reason", line.m_reason}});
    return {{"logs", events.m_files},
            {"events", events.m_events.size()},
            {"skipped", events.m_skipped_count},
            {"malformed_count", events.m_malformed_count},
            {"malformed", malformed},
            {"violations_by_rule", counts_by_rule(found)},
            {"violations", violations}};
}

} // namespace azureladder::audit
