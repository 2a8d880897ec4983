#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>

namespace azureladder::sidecar {

/// Departure of a backend server that the store is not known to have.
struct unstored_departure
{
    /// Start of the newest incarnation that left, in Unix milliseconds.
    std::int64_t m_started_at_ms = 0;
    time_point m_recorded_at;

    /// Latest announcement of an incarnation that left, other than of its departure. It may have
    /// arrived after the departure. The epoch if this process has received none.
    time_point m_last_announced_at;

    /// Interval between the announcements; zero if unknown.
    duration m_announcement_interval{};

    /// The departure was announced, and all earlier announcements had arrived.
    bool m_has_all_announcements = false;
};

/// Time from which on no announcement of the server is expected to be under way any more.
///
/// None is if all have arrived. Announcements that were regular up to the departure, or arrive
/// after it, have ended when the next one is overdue. Otherwise those that are missing may all be
/// delayed, so `max_silence` has to pass.
time_point end_of_announcements(const unstored_departure& departure, duration max_silence);

} // namespace azureladder::sidecar
