#include <azureladder/sidecar_runtime/json_line_log.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace azureladder::sidecar_runtime {

json_line_log::json_line_log(const clock& time, json_line_log_options options, int descriptor)
    : m_clock(time), m_options(std::move(options)), m_descriptor(descriptor),
      m_common_fields(",\"node\":" + dump_json(json(m_options.m_node)) +
                      ",\"incarnation\":" + std::to_string(m_options.m_incarnation) + "}\n"),
      m_tokens(m_options.m_max_burst_lines), m_last_refill(time.now())
{
    const int flags = fcntl(m_descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool json_line_log::take_token()
{
    const time_point now = m_clock.now();
    const double elapsed = std::chrono::duration<double>(now - m_last_refill).count();
    m_last_refill = now;
    m_tokens =
        std::min(m_options.m_max_burst_lines, m_tokens + elapsed * m_options.m_max_lines_per_s);
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

void json_line_log::append(log_level level, std::string_view event, const json& fields)
{
    // The common fields are appended as text, because copying the given ones takes longer than
    // writing them.
    std::string line =
        fields.is_object() && !fields.empty() ? dump_json(fields) : std::string("{}");
    line.pop_back();
    if (line.size() > 1)
        line += ',';
    m_buffer += line;
    m_buffer += "\"event\":\"";
    m_buffer += event;
    m_buffer += "\",\"level\":\"";
    m_buffer += to_string(level);
    m_buffer += "\",\"mono_us\":";
    m_buffer += std::to_string(to_us(m_clock.now()));
    m_buffer += ",\"time_us\":";
    m_buffer += std::to_string(m_clock.wall_time_us());
    m_buffer += m_common_fields;
}

void json_line_log::write(log_level level, std::string_view event, const json& fields)
{
    if (m_buffer.size() > m_options.m_max_buffer_bytes || !take_token()) {
        ++m_dropped_lines;
        flush();
        return;
    }
    if (m_dropped_lines != m_reported_dropped_lines) {
        append(log_level::warning, "log_lines_dropped", {{"total", m_dropped_lines}});
        m_reported_dropped_lines = m_dropped_lines;
    }
    append(level, event, fields);
    flush();
}

void json_line_log::flush()
{
    while (!m_buffer.empty()) {
        const ssize_t written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
        if (written <= 0)
            return;
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace azureladder::sidecar_runtime
