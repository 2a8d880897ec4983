#pragma once

#include <azureladder/audit/history.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace azureladder::audit {

/// One log line about a request.
struct trace_step
{
    /// Time since the first step in microseconds.
    std::int64_t m_offset_us = 0;
    std::string m_file;
    std::uint64_t m_line = 0;

    /// Node, backend server or "caller" that wrote the line.
    std::string m_source;
    std::string m_summary;
};

struct request_trace
{
    std::string m_request_id;
    std::vector<trace_step> m_steps;

    /// Other requests with the same service and idempotency key.
    std::vector<std::string> m_related;
};

/// Steps of one request in the order of their time; none when no log line has its id.
request_trace trace(const history& events, std::string_view request_id);

} // namespace azureladder::audit
