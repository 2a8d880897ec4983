#include "event_queue.hpp"

#include <gtest/gtest.h>

namespace azureladder::sidecar_runtime {

namespace {

sidecar::frame_received make_frame(std::uint64_t link, sidecar::peer_frame frame)
{
    return {link, std::move(frame)};
}

sidecar::event make_request(std::uint64_t link, std::uint64_t id)
{
    sidecar::request_frame frame;
    frame.m_id = id;
    return make_frame(link, std::move(frame));
}

template <class Event>
bool is_next(event_queue& queue)
{
    const auto next = queue.pop();
    return next && std::holds_alternative<Event>(*next);
}

template <class Frame>
bool is_next_frame(event_queue& queue)
{
    const auto next = queue.pop();
    const auto* received = next ? std::get_if<sidecar::frame_received>(&*next) : nullptr;
    return received != nullptr && std::holds_alternative<Frame>(received->m_frame);
}

} // namespace

// Guards against resending a request after a failure that is queued before its caller's disconnect.
TEST(event_queue, disconnect_precedes_earlier_input)
{
    event_queue queue;
    queue.push(make_frame(1, sidecar::failure_frame{}));
    queue.push(sidecar::caller_disconnected{4});
    EXPECT_TRUE(is_next<sidecar::caller_disconnected>(queue));
    EXPECT_TRUE(is_next_frame<sidecar::failure_frame>(queue));
    EXPECT_FALSE(queue.pop());
}

// Guards against starting a request whose cancel was read in the same pass of the event loop.
TEST(event_queue, cancel_precedes_its_request)
{
    event_queue queue;
    queue.push(make_request(1, 8));
    queue.push(make_frame(1, sidecar::cancel_frame{8}));
    EXPECT_TRUE(is_next_frame<sidecar::cancel_frame>(queue));
    EXPECT_TRUE(is_next_frame<sidecar::request_frame>(queue));
}

// Guards against a cancel that is handled before the handshake of its connection, which would close
// the connection.
TEST(event_queue, cancel_follows_the_handshake_of_its_connection)
{
    event_queue queue;
    queue.push(make_request(1, 8));
    queue.push(make_frame(2, sidecar::hello_frame{}));
    queue.push(make_frame(2, sidecar::cancel_frame{8}));
    EXPECT_TRUE(is_next_frame<sidecar::hello_frame>(queue));
    EXPECT_TRUE(is_next_frame<sidecar::cancel_frame>(queue));
    EXPECT_TRUE(is_next_frame<sidecar::request_frame>(queue));
}

// Guards against a timeout that expires although the awaited response has been read.
TEST(event_queue, timer_tick_follows_later_input)
{
    event_queue queue;
    queue.push(sidecar::timer_tick{});
    queue.push(make_frame(1, sidecar::response_frame{}));
    queue.push(sidecar::timer_tick{});
    EXPECT_TRUE(is_next_frame<sidecar::response_frame>(queue));
    EXPECT_TRUE(is_next<sidecar::timer_tick>(queue));
    EXPECT_FALSE(queue.pop());
}

// Guards against handling frames of a connection that this node has closed.
TEST(event_queue, frames_of_a_closed_connection_are_removed)
{
    event_queue queue;
    queue.push(make_request(1, 8));
    queue.push(make_frame(1, sidecar::cancel_frame{7}));
    queue.push(make_request(2, 9));
    queue.remove_frames(1);
    const auto next = queue.pop();
    ASSERT_TRUE(next);
    EXPECT_EQ(std::get<sidecar::frame_received>(*next).m_link, 2U);
    EXPECT_FALSE(queue.pop());
}

} // namespace azureladder::sidecar_runtime
