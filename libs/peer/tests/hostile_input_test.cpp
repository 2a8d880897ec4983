#include "test_node.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>

#include <sys/resource.h>

#include <cstring>
#include <random>

namespace azureladder::peer {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr const char* handshake = "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: Upgrade\r\n"
                                  "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
                                  "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";

class hostile_input_test : public testing::Test
{
protected:
    std::string random_bytes(std::size_t size)
    {
        std::string result(size, '\0');
        for (auto& unit : result)
            unit = char(m_random());
        return result;
    }

    tcp::endpoint target() const
    {
        return {boost::asio::ip::make_address("127.0.0.1"), m_b.address().m_port};
    }

    /// Sends bytes over a new connection. Errors are expected when the node closes it early.
    void send_bytes(const std::string& bytes)
    {
        m_sockets.emplace_back(m_context);
        boost::system::error_code ignored;
        m_sockets.back().connect(target());
        boost::asio::write(m_sockets.back(), boost::asio::buffer(bytes), ignored);
    }

    /// Whether the node has closed the newest connection.
    bool is_closed()
    {
        char unit = 0;
        boost::system::error_code error;
        m_sockets.back().non_blocking(true);
        while (!error)
            m_sockets.back().read_some(boost::asio::buffer(&unit, 1), error);
        return error != boost::asio::error::would_block;
    }

    void expect_messages_are_delivered()
    {
        const auto before = m_b.m_received.size();
        m_a.send_to(m_b.address());
        m_a.m_transport.send_datagram(m_b.address(),
                                      m_a.encode(core::message(core::directory_pull{})));
        EXPECT_TRUE(run_until(m_context, [&] { return m_b.m_received.size() == before + 2; }));
        EXPECT_TRUE(m_a.m_failed.empty());
    }

    std::mt19937 m_random{20261204};
    boost::asio::io_context m_context;
    manual_clock m_time;
    test_node m_a{m_context, m_time};
    test_node m_b{m_context, m_time};
    std::vector<tcp::socket> m_sockets;
};

// Guards against crashes and blocked traffic on bytes of another protocol.
TEST_F(hostile_input_test, random_bytes_on_both_ports)
{
    udp::socket socket(m_context, udp::v4());
    for (int i = 0; i < 50; ++i) {
        socket.send_to(boost::asio::buffer(random_bytes(m_random() % 2'000)),
                       udp::endpoint(target().address(), target().port()));
        send_bytes(random_bytes(m_random() % 40'000));
        send_bytes(handshake + random_bytes(m_random() % 1'000));
        m_context.poll();
    }
    expect_messages_are_delivered();
    EXPECT_GT(m_b.m_transport.counters().m_datagrams_dropped, 0U);
}

// Guards against undecodable frames that are accepted, or that end a link with other frames in
// flight.
TEST_F(hostile_input_test, undecodable_frames_are_dropped_and_counted)
{
    m_a.m_transport.send_frame(m_b.address(), {1, 2, 3}, false);
    expect_messages_are_delivered();
    EXPECT_EQ(m_b.m_transport.counters().m_frames_dropped, 1U);
    EXPECT_EQ(m_b.m_dropped, std::vector<std::string>{"malformed "});
    EXPECT_EQ(m_a.m_transport.counters().m_links_opened, 1U);
}

// Guards against text frames that are processed as messages.
TEST_F(hostile_input_test, text_frame_ends_the_link)
{
    const std::string masked_text{"\x81\x82\0\0\0\0hi", 8};
    send_bytes(handshake + masked_text);
    EXPECT_TRUE(run_until(m_context, [&] { return !m_b.m_dropped.empty(); }));
    EXPECT_EQ(m_b.m_dropped, std::vector<std::string>{"text frame"});
    expect_messages_are_delivered();
}

// Guards against a frame header whose length makes the receiver allocate memory.
TEST_F(hostile_input_test, oversized_frame_ends_the_link)
{
    const std::string huge_binary{"\x82\xff\0\0\1\0\0\0\0\0\0\0\0\0xx", 16};
    send_bytes(handshake + huge_binary);
    EXPECT_TRUE(run_until(m_context, [&] { return is_closed(); }));
    expect_messages_are_delivered();
}

// Guards against connections that hold memory without completing the handshake.
TEST_F(hostile_input_test, connection_without_handshake_is_closed)
{
    send_bytes("GET / HTTP/1.1\r\n");
    EXPECT_TRUE(run_until(m_context, [&] { return is_closed(); }));
}

// Guards against a busy accept loop while the process has no free file descriptor: `poll` would not
// return. A link is accepted once a descriptor is free again.
TEST_F(hostile_input_test, exhausted_file_descriptors_cause_no_busy_loop)
{
    expect_messages_are_delivered();
    m_sockets.emplace_back(m_context).open(tcp::v4());
    rlimit before{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
    const rlimit none{0, before.rlim_max};
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
    m_sockets.back().connect(target());
    m_sockets.back().send(boost::asio::buffer(handshake, std::strlen(handshake)));
    m_context.poll();
    EXPECT_EQ(m_sockets.back().available(), 0U);
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
    EXPECT_TRUE(run_until(m_context, [&] { return m_sockets.back().available() > 0; }));
    expect_messages_are_delivered();
}

} // namespace
} // namespace azureladder::peer
