#pragma once

#include <azureladder/audit/event.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace azureladder::audit {

/// A line that could not be parsed.
struct malformed_line
{
    log_position m_position;
    std::string m_reason;

    /// Whether it is a last line without a line feed: the process ended while writing it.
    bool m_is_truncated = false;
};

/// Events of several logs, merged by time.
struct history
{
    std::vector<std::string> m_files;

    /// A deque, because a growing vector needs memory for two copies of the events.
    std::deque<event> m_events;

    /// The first `max_listed_malformed` malformed lines; `m_malformed_count` counts all.
    std::vector<malformed_line> m_malformed;
    std::size_t m_malformed_count = 0;

    /// Number of lines with an event name that the audit does not use.
    std::size_t m_skipped_count = 0;
};

inline constexpr std::size_t max_listed_malformed = 100;

/// Sorts the events by time; events with equal times keep the order in which they were read.
void merge_by_time(history& events);

} // namespace azureladder::audit
