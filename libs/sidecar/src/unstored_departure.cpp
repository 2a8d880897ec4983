#include <azureladder/sidecar/unstored_departure.hpp>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// Intervals after an announcement from which on the next one is overdue.
constexpr double overdue_intervals = 1.25;

} // namespace

time_point end_of_announcements(const unstored_departure& departure, duration max_silence)
{
    if (departure.m_has_all_announcements)
        return departure.m_recorded_at;
    const duration overdue_after =
        std::chrono::duration_cast<duration>(departure.m_announcement_interval * overdue_intervals);
    const time_point overdue_at =
        departure.m_last_announced_at + std::min(overdue_after, max_silence);
    if (departure.m_announcement_interval > duration::zero() &&
        overdue_at >= departure.m_recorded_at)
        return overdue_at;
    return std::max(departure.m_recorded_at, departure.m_last_announced_at) + max_silence;
}

} // namespace azureladder::sidecar
