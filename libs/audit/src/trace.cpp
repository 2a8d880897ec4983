#include <azureladder/audit/format.hpp>
#include <azureladder/audit/trace.hpp>

#include <set>
#include <utility>

namespace azureladder::audit {

namespace {

std::string source_of(const event& line)
{
    switch (line.m_kind) {
    case event_kind::call_started:
    case event_kind::call_finished:
        return "caller";
    case event_kind::server_started:
    case event_kind::execution_started:
    case event_kind::execution_finished:
    case event_kind::execution_refused:
        return line.m_server;
    default:
        return line.m_node;
    }
}

/// Ids of other requests with the same service and idempotency key.
std::vector<std::string> related_requests(const history& events, std::string_view request_id)
{
    std::set<std::pair<std::string, std::string>> keys;
    for (const auto& line : events.m_events) {
        if (line.m_request_id == request_id && !line.m_idempotency_key.empty())
            keys.emplace(line.m_service, line.m_idempotency_key);
    }
    std::set<std::string> related;
    for (const auto& line : events.m_events) {
        if (line.m_request_id != request_id && !line.m_request_id.empty() &&
            keys.count({line.m_service, line.m_idempotency_key}) > 0)
            related.insert(line.m_request_id);
    }
    return {related.begin(), related.end()};
}

} // namespace

request_trace trace(const history& events, std::string_view request_id)
{
    request_trace steps;
    steps.m_request_id = std::string(request_id);
    std::int64_t first_us = 0;
    for (const auto& line : events.m_events) {
        if (line.m_request_id != request_id)
            continue;
        if (steps.m_steps.empty())
            first_us = line.m_time_us;
        steps.m_steps.push_back({line.m_time_us - first_us,
                                 events.m_files.at(line.m_position.m_file), line.m_position.m_line,
                                 source_of(line), summary(line)});
    }
    steps.m_related = related_requests(events, request_id);
    return steps;
}

} // namespace azureladder::audit
