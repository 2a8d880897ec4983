#pragma once

#include <azureladder/base/clock.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/base/log_level.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace azureladder::sidecar_runtime {

struct json_line_log_options
{
    std::string m_node;
    std::uint64_t m_incarnation = 0;

    /// Size of the buffer for lines that the reader has not taken, in bytes. Lines beyond it are
    /// dropped and counted.
    std::size_t m_max_buffer_bytes = 256 * 1024;

    /// Token bucket that limits the rate: lines per second, and lines in one burst.
    double m_max_lines_per_s = 500.0;
    double m_max_burst_lines = 2000.0;
};

/// Writes JSON lines to a file descriptor and never blocks on its reader.
class json_line_log
{
public:
    /// Switches the descriptor to non-blocking mode. The clock must outlive the log.
    json_line_log(const clock& time, json_line_log_options options, int descriptor);

    /// `event` must need no escapes in JSON.
    void write(log_level level, std::string_view event, const json& fields);

    /// Writes as many buffered bytes as the descriptor accepts. Also called from a timer.
    void flush();

    std::uint64_t dropped_lines() const { return m_dropped_lines; }

private:
    bool take_token();
    void append(log_level level, std::string_view event, const json& fields);

    const clock& m_clock;
    json_line_log_options m_options;
    int m_descriptor;

    /// End of each line: the fields that all lines have in common.
    std::string m_common_fields;
    std::string m_buffer;
    double m_tokens;
    time_point m_last_refill;
    std::uint64_t m_dropped_lines = 0;
    std::uint64_t m_reported_dropped_lines = 0;
};

} // namespace azureladder::sidecar_runtime
