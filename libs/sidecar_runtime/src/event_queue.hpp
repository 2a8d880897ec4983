#pragma once

#include <azureladder/sidecar/events.hpp>

#include <deque>
#include <optional>

namespace azureladder::sidecar_runtime {

/// Input of the reducer that was read in one pass of the event loop.
///
/// Events that end requests precede those that may start or resend one, so that no work is started
/// for a caller whose disconnect has already been read. A timer tick comes last, so that no timeout
/// expires while the awaited input is queued. Otherwise events keep their order, but for the hello
/// frame of a connection, which must not stay behind a cancel frame that follows it.
class event_queue
{
public:
    void push(sidecar::event input_event);

    /// Removes and returns the next event. Empty when there is none.
    std::optional<sidecar::event> pop();

    /// Removes the frames that were received over a connection.
    void remove_frames(std::uint64_t link);

private:
    std::deque<sidecar::event> m_preceding_events;
    std::deque<sidecar::event> m_events;
    bool m_is_tick_due = false;
};

} // namespace azureladder::sidecar_runtime
