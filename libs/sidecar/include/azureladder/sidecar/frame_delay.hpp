#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <optional>

namespace azureladder::sidecar {

/// Estimate of how long frames of one connection were on their way. The clocks of two VMs differ by
/// an unknown offset, so the delay is taken relative to the fastest frame of the recent past.
struct frame_delay_estimate
{
    /// Smallest difference between the receiver's and the sender's clock in the current and the
    /// previous period.
    std::optional<duration> m_smallest;
    std::optional<duration> m_previous_smallest;
    time_point m_period_started_at;
};

/// Records a frame that was sent at `sent_at` by the sender's clock and arrived at `now` by the
/// receiver's. Returns its delay beyond that of the fastest recent frame; zero for the first one.
duration record_frame(frame_delay_estimate& estimate, duration sent_at, time_point now);

} // namespace azureladder::sidecar
