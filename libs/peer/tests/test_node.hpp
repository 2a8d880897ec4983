#pragma once

#include <azureladder/base/manual_clock.hpp>
#include <azureladder/peer/transport.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace azureladder::peer {

/// A transport that records its callbacks.
struct test_node
{
    test_node(boost::asio::io_context& context, const clock& time,
              const transport_options& options = {})
        : m_transport(context, time, options, callbacks())
    {
        EXPECT_TRUE(m_transport.start());
    }

    transport_callbacks callbacks()
    {
        transport_callbacks result;
        result.m_on_envelope = [this](const wire::envelope& value, wire::channel received_on) {
            m_received.emplace_back(value, received_on);
        };
        result.m_on_frame_failed = [this](frame_id id, bool nothing_was_sent) {
            m_failed.emplace_back(id, nothing_was_sent);
        };
        result.m_on_dropped = [this](wire::channel, const std::string& reason) {
            m_dropped.push_back(reason);
        };
        return result;
    }

    endpoint address() const { return m_transport.advertised(); }

    std::vector<std::uint8_t> encode(const wire::payload& value) const
    {
        return wire::encode({{"node", 1}, address(), value});
    }

    /// Sends a small tracked frame.
    frame_id send_to(const endpoint& to)
    {
        return m_transport.send_frame(to, encode(wire::cancel_frame{{1, 2}}));
    }

    std::vector<std::pair<wire::envelope, wire::channel>> m_received;
    std::vector<std::pair<frame_id, bool>> m_failed;
    std::vector<std::string> m_dropped;
    transport m_transport;
};

/// Runs the io_context until `done` returns true. The limit only ends a test that would hang.
template <class Condition>
bool run_until(boost::asio::io_context& context, Condition done)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!done() && std::chrono::steady_clock::now() < limit)
        context.run_one_for(std::chrono::milliseconds(50));
    return done();
}

/// An address without listener. Its host differs from that of all other sockets of the tests, so
/// that none of them is bound to the port.
inline endpoint closed_address(boost::asio::io_context& context, const clock& time)
{
    transport_options options;
    options.m_listen.m_host = "127.0.0.9";
    return test_node(context, time, options).address();
}

using failures = std::vector<std::pair<frame_id, bool>>;

} // namespace azureladder::peer
