#include "test_node.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace azureladder::peer {
namespace {

class transport_test : public testing::Test
{
protected:
    boost::asio::io_context m_context;
    manual_clock m_time;
    test_node m_a{m_context, m_time};
};

// Guards against messages that are delivered on one channel or in one direction only.
TEST_F(transport_test, delivers_datagrams_and_frames_in_both_directions)
{
    test_node b(m_context, m_time);
    m_a.m_transport.send_datagram(b.address(), m_a.encode(core::message(core::revision_probe{7})));
    ASSERT_TRUE(run_until(m_context, [&] { return b.m_received.size() == 1; }));
    EXPECT_EQ(b.m_received[0].second, wire::channel::datagram);
    const auto id = m_a.send_to(b.address());
    ASSERT_TRUE(run_until(m_context, [&] { return b.m_received.size() == 2; }));
    EXPECT_EQ(b.m_received[1].second, wire::channel::link);
    b.m_transport.send_frame(b.m_received[1].first.m_reply_to, b.encode(wire::reply_frame{}),
                             false);
    ASSERT_TRUE(run_until(m_context, [&] { return m_a.m_received.size() == 1; }));
    m_a.m_transport.frame_done(id);
    EXPECT_TRUE(m_a.m_failed.empty());
}

// Guards against a witness that expires a lease although the renewal request is in its receive
// buffer.
TEST_F(transport_test, pending_datagrams_are_delivered_on_demand)
{
    test_node b(m_context, m_time);
    constexpr std::size_t count = 20;
    for (std::size_t i = 0; i < count; ++i)
        m_a.m_transport.send_datagram(b.address(),
                                      m_a.encode(core::message(core::revision_probe{i})));
    b.m_transport.receive_pending();
    EXPECT_EQ(b.m_received.size(), count);
    m_a.m_transport.send_datagram(b.address(), m_a.encode(core::message(core::revision_probe{7})));
    EXPECT_TRUE(run_until(m_context, [&] { return b.m_received.size() == count + 1; }));
}

// Guards against bodies that are truncated or rejected below the size limit, or sent above it.
TEST_F(transport_test, delivers_frames_up_to_the_size_limit)
{
    test_node b(m_context, m_time);
    wire::request_frame request;
    request.m_body.assign(wire::max_frame_bytes - 1'000, 'x');
    m_a.m_transport.send_frame(b.address(), m_a.encode(request));
    ASSERT_TRUE(run_until(m_context, [&] { return b.m_received.size() == 1; }));
    const auto& received = std::get<wire::request_frame>(b.m_received[0].first.m_payload);
    EXPECT_EQ(received.m_body, request.m_body);
    request.m_body.assign(wire::max_frame_bytes, 'x');
    const auto id = m_a.m_transport.send_frame(b.address(), m_a.encode(request));
    ASSERT_TRUE(run_until(m_context, [&] { return !m_a.m_failed.empty(); }));
    EXPECT_EQ(m_a.m_failed, (failures{{id, true}}));
}

// Guards against frames that stay queued for an unreachable node, and against a link that is never
// reopened.
TEST_F(transport_test, refused_connect_fails_frames_until_the_backoff_ends)
{
    const auto address = closed_address(m_context, m_time);
    const auto first = m_a.send_to(address);
    ASSERT_TRUE(run_until(m_context, [&] { return m_a.m_failed.size() == 1; }));
    transport_options options;
    options.m_listen = address;
    test_node b(m_context, m_time, options);
    const auto second = m_a.send_to(address);
    ASSERT_TRUE(run_until(m_context, [&] { return m_a.m_failed.size() == 2; }));
    EXPECT_EQ(m_a.m_failed, (failures{{first, true}, {second, true}}));
    m_time.advance(options.m_initial_backoff);
    m_a.send_to(address);
    ASSERT_TRUE(run_until(m_context, [&] { return b.m_received.size() == 1; }));
}

// Guards against frames that stay queued beyond the connect timeout for a node that accepts
// connections and then sends nothing.
TEST_F(transport_test, connect_timeout_fails_frames_as_not_sent)
{
    using boost::asio::ip::tcp;
    const tcp::acceptor unresponsive(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const auto id = m_a.send_to({"127.0.0.1", unresponsive.local_endpoint().port()});
    m_time.advance(transport_options().m_connect_timeout);
    ASSERT_TRUE(run_until(m_context, [&] { return !m_a.m_failed.empty(); }));
    EXPECT_EQ(m_a.m_failed, (failures{{id, true}}));
}

// Guards against a request that may have been executed and is reported as not sent, and against
// reports of frames whose reply was received or that are untracked.
TEST_F(transport_test, lost_link_fails_written_frames_as_possibly_sent)
{
    auto b = std::make_unique<test_node>(m_context, m_time);
    const auto answered = m_a.send_to(b->address());
    const auto waiting = m_a.send_to(b->address());
    m_a.m_transport.send_frame(b->address(), m_a.encode(wire::cancel_frame{}), false);
    ASSERT_TRUE(run_until(m_context, [&] { return b->m_received.size() == 3; }));
    m_a.m_transport.frame_done(answered);
    b.reset();
    ASSERT_TRUE(run_until(m_context, [&] { return !m_a.m_failed.empty(); }));
    EXPECT_EQ(m_a.m_failed, (failures{{waiting, false}}));
}

// Guards against requests that wait indefinitely on a half-open link.
TEST_F(transport_test, unresponsive_peer_is_detected_while_replies_are_awaited)
{
    boost::asio::io_context frozen;
    test_node b(frozen, m_time);
    const auto id = m_a.send_to(b.address());
    ASSERT_TRUE(run_until(m_context, [&] {
        frozen.poll();
        return b.m_received.size() == 1;
    }));
    ASSERT_TRUE(run_until(m_context, [&] {
        m_time.advance(milliseconds(100));
        return !m_a.m_failed.empty();
    }));
    EXPECT_EQ(m_a.m_failed, (failures{{id, false}}));
}

// Guards against a heartbeat that ends the link of a peer whose reply is slow.
TEST_F(transport_test, slow_reply_does_not_end_the_link)
{
    test_node b(m_context, m_time);
    m_a.send_to(b.address());
    ASSERT_TRUE(run_until(m_context, [&] { return b.m_received.size() == 1; }));
    // 400 ms of the clock in each tick of 100 ms, so that pings and pongs are handled in between.
    for (int i = 0; i < 12; ++i) {
        m_time.advance(milliseconds(400));
        m_context.run_for(std::chrono::milliseconds(110));
    }
    EXPECT_TRUE(m_a.m_failed.empty());
    EXPECT_EQ(m_a.m_transport.counters().m_links_lost, 0U);
}

// Guards against links that are never closed, or not reopened.
TEST_F(transport_test, idle_link_is_closed_and_reopened)
{
    test_node b(m_context, m_time);
    m_a.m_transport.frame_done(m_a.send_to(b.address()));
    m_a.m_transport.send_frame(b.address(), m_a.encode(wire::cancel_frame{}), false);
    ASSERT_TRUE(run_until(m_context, [&] { return b.m_received.size() == 1; }));
    m_time.advance(transport_options().m_idle_timeout);
    ASSERT_TRUE(run_until(m_context, [&] { return m_a.m_transport.link_count() == 0; }));
    m_a.send_to(b.address());
    ASSERT_TRUE(run_until(m_context, [&] { return b.m_received.size() == 2; }));
    EXPECT_EQ(m_a.m_transport.counters().m_links_opened, 2U);
    EXPECT_EQ(m_a.m_transport.counters().m_links_lost, 0U);
}

// Guards against replies that are lost when a process stops after its last request.
TEST_F(transport_test, close_delivers_queued_frames)
{
    test_node b(m_context, m_time);
    wire::request_frame request;
    request.m_body.assign(1'000'000, 'x');
    for (int i = 0; i < 4; ++i)
        m_a.m_transport.send_frame(b.address(), m_a.encode(request), false);
    bool closed = false;
    m_a.m_transport.close([&] { closed = true; });
    const auto late = m_a.send_to(b.address());
    ASSERT_TRUE(run_until(m_context, [&] { return closed; }));
    EXPECT_EQ(b.m_received.size(), 4U);
    EXPECT_EQ(m_a.m_failed, (failures{{late, true}}));
}

// Guards against a failed start whose error lacks the address or the cause.
TEST_F(transport_test, start_error_contains_address_and_cause)
{
    transport_options options;
    options.m_listen = m_a.address();
    const auto in_use = transport(m_context, m_time, options, {}).start();
    ASSERT_FALSE(in_use);
    EXPECT_EQ(in_use.error().m_message,
              "cannot listen on " + to_string(m_a.address()) + ": Address already in use");
    options.m_listen.m_host = "localhost";
    EXPECT_FALSE(transport(m_context, m_time, options, {}).start());
}

// Guards against a queue that grows without bound while a link opens.
TEST_F(transport_test, queue_of_a_link_is_limited)
{
    using boost::asio::ip::tcp;
    const tcp::acceptor unresponsive(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::vector<std::uint8_t> bytes(1'000'000);
    for (int i = 0; i < 10; ++i)
        m_a.m_transport.send_frame({"127.0.0.1", unresponsive.local_endpoint().port()}, bytes);
    ASSERT_TRUE(run_until(m_context, [&] { return m_a.m_failed.size() == 2; }));
    EXPECT_EQ(m_a.m_failed, (failures{{9, true}, {10, true}}));
}

// Guards against use of destroyed objects by operations that are still pending.
TEST_F(transport_test, pending_operations_outlive_the_transport)
{
    auto b = std::make_unique<test_node>(m_context, m_time);
    auto c = std::make_unique<test_node>(m_context, m_time);
    c->send_to(b->address());
    c.reset();
    b->send_to(m_a.address());
    b->send_to(closed_address(m_context, m_time));
    m_context.poll();
    b.reset();
    m_context.run_for(std::chrono::milliseconds(300));
    EXPECT_TRUE(m_a.m_failed.empty());
}

} // namespace
} // namespace azureladder::peer
