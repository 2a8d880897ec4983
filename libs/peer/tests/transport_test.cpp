#include <azureladder/base/steady_clock.hpp>
#include <azureladder/peer/transport.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <optional>

namespace azureladder::peer {
namespace {

/// A transport with a record of its callbacks.
struct node
{
    explicit node(boost::asio::io_context& context, const clock& time,
                  const transport_options& options = {})
        : m_transport(context, time, options, callbacks())
    {
        EXPECT_TRUE(m_transport.start());
    }

    transport_callbacks callbacks()
    {
        transport_callbacks result;
        result.m_on_envelope = [this](const wire::envelope& value, wire::channel via) {
            m_received.push_back(value);
            m_channels.push_back(via);
        };
        result.m_on_frame_failed = [this](frame_id id, bool nothing_was_sent) {
            m_failed.emplace_back(id, nothing_was_sent);
        };
        return result;
    }

    std::vector<std::uint8_t> encode(const wire::payload& value)
    {
        return wire::encode({{"node", 1}, m_transport.advertised(), value});
    }

    std::vector<wire::envelope> m_received;
    std::vector<wire::channel> m_channels;
    std::vector<std::pair<frame_id, bool>> m_failed;
    transport m_transport;
};

/// Runs the io_context until `done` holds. The limit only ends a test that would hang.
template <class Condition>
bool run_until(boost::asio::io_context& context, Condition done)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!done() && std::chrono::steady_clock::now() < limit)
        context.run_one_for(std::chrono::milliseconds(50));
    return done();
}

// Guards against messages that arrive on one channel or in one direction only.
TEST(transport, carries_datagrams_and_frames_both_ways)
{
    boost::asio::io_context context;
    const steady_clock time;
    node a(context, time);
    node b(context, time);
    a.m_transport.send_datagram(b.m_transport.advertised(),
                                a.encode(core::message(core::revision_probe{7})));
    ASSERT_TRUE(run_until(context, [&] { return b.m_received.size() == 1; }));
    const auto id =
        a.m_transport.send_frame(b.m_transport.advertised(), a.encode(wire::cancel_frame{{1, 2}}));
    ASSERT_TRUE(run_until(context, [&] { return b.m_received.size() == 2; }));
    EXPECT_EQ(b.m_channels[0], wire::channel::datagram);
    EXPECT_EQ(b.m_channels[1], wire::channel::link);
    b.m_transport.send_frame(b.m_received[1].m_reply_to, b.encode(wire::reply_frame{}), false);
    ASSERT_TRUE(run_until(context, [&] { return a.m_received.size() == 1; }));
    a.m_transport.frame_done(id);
    EXPECT_TRUE(a.m_failed.empty());
}

} // namespace
} // namespace azureladder::peer
