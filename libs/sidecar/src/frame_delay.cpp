#include <azureladder/sidecar/frame_delay.hpp>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// Length of a period. Clock rates drift and a VM may be suspended, so old frames have to be
/// forgotten.
constexpr duration period = seconds(10);

} // namespace

duration record_frame(frame_delay_estimate& estimate, duration sent_at, time_point now)
{
    const duration difference = now.time_since_epoch() - sent_at;
    if (now - estimate.m_period_started_at > period) {
        // After a longer pause of the connection the former period says nothing.
        const bool is_recent = now - estimate.m_period_started_at <= 2 * period;
        estimate.m_previous_smallest = is_recent ? estimate.m_smallest : std::nullopt;
        estimate.m_smallest.reset();
        estimate.m_period_started_at = now;
    }
    estimate.m_smallest = std::min(estimate.m_smallest.value_or(difference), difference);
    return difference - std::min(*estimate.m_smallest,
                                 estimate.m_previous_smallest.value_or(*estimate.m_smallest));
}

} // namespace azureladder::sidecar
