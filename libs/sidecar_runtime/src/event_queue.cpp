#include "event_queue.hpp"

#include <algorithm>

namespace azureladder::sidecar_runtime {

namespace {

bool precedes_other_events(const sidecar::event& input_event)
{
    if (std::holds_alternative<sidecar::caller_disconnected>(input_event))
        return true;
    const auto* received = std::get_if<sidecar::frame_received>(&input_event);
    return received != nullptr &&
           (std::holds_alternative<sidecar::cancel_frame>(received->m_frame) ||
            std::holds_alternative<sidecar::hello_frame>(received->m_frame));
}

bool is_frame_of(const sidecar::event& input_event, std::uint64_t link)
{
    const auto* received = std::get_if<sidecar::frame_received>(&input_event);
    return received != nullptr && received->m_link == link;
}

void remove_frames_of(std::deque<sidecar::event>& events, std::uint64_t link)
{
    events.erase(std::remove_if(events.begin(), events.end(),
                                [&](const auto& queued) { return is_frame_of(queued, link); }),
                 events.end());
}

std::optional<sidecar::event> pop_front(std::deque<sidecar::event>& events)
{
    std::optional<sidecar::event> result = std::move(events.front());
    events.pop_front();
    return result;
}

} // namespace

void event_queue::push(sidecar::event input_event)
{
    if (std::holds_alternative<sidecar::timer_tick>(input_event))
        m_is_tick_due = true;
    else if (precedes_other_events(input_event))
        m_preceding_events.push_back(std::move(input_event));
    else
        m_events.push_back(std::move(input_event));
}

std::optional<sidecar::event> event_queue::pop()
{
    if (!m_preceding_events.empty())
        return pop_front(m_preceding_events);
    if (!m_events.empty())
        return pop_front(m_events);
    if (!m_is_tick_due)
        return std::nullopt;
    m_is_tick_due = false;
    return sidecar::timer_tick{};
}

void event_queue::remove_frames(std::uint64_t link)
{
    remove_frames_of(m_preceding_events, link);
    remove_frames_of(m_events, link);
}

} // namespace azureladder::sidecar_runtime
