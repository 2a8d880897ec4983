#pragma once

#include <azureladder/base/clock.hpp>
#include <azureladder/base/ids.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/base/log_level.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <string_view>

namespace azureladder::telemetry {

struct logger_options
{
    /// File to which lines are appended; standard output when empty.
    std::string m_path;

    /// Lines of a lower level are not written.
    log_level m_minimum_level = log_level::info;

    node_id m_node;
    incarnation_id m_incarnation = 0;
};

/// Writes one JSON object per line: `time_us`, `mono_us`, `node`, `incarnation`, `level`, `event`
/// and the fields of the event. Thread safe; each line is flushed. The clock must outlive the
/// logger.
class logger
{
public:
    logger(const clock& time, logger_options options);
    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;
    ~logger();

    /// Whether the file could be opened. Lines are discarded otherwise.
    bool is_open() const;

    /// Whether lines of `level` are written. Callers need not build the fields otherwise.
    bool is_enabled(log_level level) const { return level >= m_options.m_minimum_level; }

    /// Changes the incarnation of the following lines.
    void set_incarnation(incarnation_id incarnation);

    /// Writes a line. `fields` is an object or null. A field with the name of a standard one is
    /// written as `field_<name>`. Bytes that are not UTF-8 are replaced by U+FFFD.
    void write(log_level level, std::string_view event, const json& fields = nullptr);

private:
    class sink;

    std::string format(log_level level, std::string_view event, const json& fields) const;

    const clock& m_clock;
    logger_options m_options;
    std::atomic<incarnation_id> m_incarnation;
    std::unique_ptr<sink> m_sink;
};

} // namespace azureladder::telemetry
