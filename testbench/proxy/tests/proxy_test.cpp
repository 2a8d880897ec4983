#include "control_server.hpp"
#include "relay_fixture.hpp"

#include <set>

namespace azureladder::proxy {
namespace {

using tcp_test = relay_fixture;
using udp_test = relay_fixture;

TEST_F(tcp_test, relays_both_directions_and_the_end_of_the_stream)
{
    const auto client = connect();
    client->send("hello");
    run_until([&] { return client->m_received == "hello"; });
    EXPECT_EQ(direction("forward").at("passed_bytes"), 5);
    EXPECT_EQ(direction("backward").at("passed_bytes"), 5);
    client->m_socket.shutdown(tcp::socket::shutdown_send);
    run_until([&] { return m_echoes.at(0)->m_end == boost::asio::error::eof; });
}

// Guards against a cut that closes connections or loses bytes of a stream that continues.
TEST_F(tcp_test, cut_stalls_existing_connections)
{
    const auto client = connect();
    client->send("a");
    run_until([&] { return client->m_received == "a"; });
    set(R"({"cut":true})");
    client->send("b");
    run_briefly();
    EXPECT_EQ(client->m_received, "a");
    EXPECT_FALSE(client->m_end);
    clear();
    run_until([&] { return client->m_received == "ab"; });
}

// Guards against a handshake with the target across a cut link.
TEST_F(tcp_test, cut_delays_new_connections)
{
    set(R"({"cut":true})", "backward");
    const auto client = connect();
    client->send("a");
    run_briefly();
    EXPECT_TRUE(m_echoes.empty());
    clear();
    run_until([&] { return client->m_received == "a"; });
}

TEST_F(tcp_test, refuse_resets_and_later_accepts_again)
{
    const auto client = connect();
    client->send("a");
    run_until([&] { return client->m_received == "a"; });
    refuse();
    run_until([&] { return client->m_end == boost::asio::error::connection_reset; });
    EXPECT_EQ(connect()->m_end, boost::asio::error::connection_refused);
    clear();
    const auto again = connect();
    again->send("b");
    run_until([&] { return again->m_received == "b"; });
}

// Guards against a half-open link that later delivers a stream with a gap.
TEST_F(tcp_test, swallow_discards_one_direction_and_resets_afterwards)
{
    const auto client = connect();
    client->send("a");
    run_until([&] { return client->m_received == "a"; });
    set(R"({"swallow":true})", "backward");
    client->send("b");
    run_until([&] { return m_echoes.at(0)->m_received == "ab"; });
    run_until([&] { return direction("backward").at("dropped_units") == 1; });
    EXPECT_EQ(client->m_received, "a");
    clear();
    run_until([&] { return client->m_end == boost::asio::error::connection_reset; });
}

// Guards against faults that reorder or lose bytes of a stream.
TEST_F(tcp_test, delay_loss_and_bandwidth_keep_the_stream)
{
    set(R"({"delay_ms":2,"jitter_ms":3,"drop":0.02,"bandwidth":20000000})");
    const auto client = connect();
    std::string sent;
    for (int i = 0; i < 200; ++i) {
        const auto part = std::to_string(i) + std::string(500, '.');
        client->send(part);
        sent += part;
        m_context.poll();
    }
    run_until([&] { return client->m_received.size() == sent.size(); });
    EXPECT_EQ(client->m_received, sent);
}

// Guards against a proxy that reads without limit while its sink accepts no data.
TEST_F(tcp_test, memory_is_bounded_while_a_stream_stalls)
{
    const auto client = connect();
    client->send("a");
    run_until([&] { return client->m_received == "a"; });
    set(R"({"delay_ms":600000})", "forward");
    client->m_socket.non_blocking(true);
    const std::string block(65'536, 'x');
    boost::system::error_code error;
    std::size_t accepted = 0;
    constexpr std::size_t limit = std::size_t(64) << 20;
    for (int idle = 0; idle < 20 && accepted < limit;) {
        error.clear();
        const auto size = client->m_socket.write_some(boost::asio::buffer(block), error);
        accepted += error ? 0 : size;
        idle = error ? idle + 1 : 0;
        m_context.run_for(std::chrono::milliseconds(1));
    }
    // The queue holds 256 KiB; the rest is in the socket buffers of the kernel.
    EXPECT_LT(accepted, limit);
}

TEST_F(udp_test, relays_answers_to_their_client)
{
    send_datagram("ping");
    run_until([&] { return m_echoed_datagrams == std::vector<std::string>{"ping"}; });
}

TEST_F(udp_test, cut_and_refuse_drop_datagrams)
{
    set(R"({"cut":true})", "backward");
    send_datagram("a");
    run_until([&] { return direction("backward").at("dropped_units") == 1; });
    refuse();
    send_datagram("b");
    run_until([&] { return direction("forward").at("dropped_units") == 1; });
    clear();
    send_datagram("c");
    run_until([&] { return m_echoed_datagrams == std::vector<std::string>{"c"}; });
}

// Guards against a drop probability that is ignored or not repeatable.
TEST_F(udp_test, drops_a_share_of_the_datagrams)
{
    constexpr int count = 400;
    set(R"({"drop":0.25})", "forward");
    for (int i = 0; i < count; ++i) {
        send_datagram(std::to_string(i));
        m_context.poll();
    }
    run_until([&] {
        const auto forward = direction("forward");
        return forward.at("passed_units").get<int>() + forward.at("dropped_units").get<int>() ==
               count;
    });
    // Four standard deviations of a binomial distribution with mean 100 are 35.
    EXPECT_NEAR(direction("forward").at("dropped_units").get<int>(), 100, 35);
}

// Guards against a relay that ignores the reorder fault.
TEST_F(udp_test, reorders_datagrams)
{
    set(R"({"reorder":0.5})", "forward");
    for (char name = 'a'; name < 'u'; ++name)
        send_datagram(std::string(1, name));
    run_until([&] { return m_echoed_datagrams.size() == 20; });
    EXPECT_FALSE(std::is_sorted(m_echoed_datagrams.begin(), m_echoed_datagrams.end()));
    EXPECT_EQ(std::set<std::string>(m_echoed_datagrams.begin(), m_echoed_datagrams.end()).size(),
              20U);
}

// Guards against wrong release times under delay, jitter and a bandwidth limit.
TEST(link_direction, computes_release_times)
{
    fault_settings faults;
    faults.m_delay = milliseconds(10);
    faults.m_jitter = milliseconds(5);
    link_direction delayed(faults, 1);
    for (int i = 0; i < 100; ++i) {
        const auto before = clock_type::now();
        const auto release = delayed.datagram_release(100);
        EXPECT_GE(release, before + milliseconds(10));
        EXPECT_LE(release, clock_type::now() + milliseconds(15));
    }
    faults = {};
    faults.m_bandwidth = 1000;
    link_direction limited(faults, 1);
    const auto first = limited.datagram_release(500);
    EXPECT_EQ(limited.datagram_release(500) - first, milliseconds(500));
}

TEST(link_direction, equal_seeds_lose_the_same_datagrams)
{
    fault_settings faults;
    faults.m_drop = 0.5;
    link_direction first(faults, 3);
    link_direction second(faults, 3);
    for (int i = 0; i < 100; ++i)
        EXPECT_EQ(first.loses_datagram(), second.loses_datagram());
}

// Guards against a misspelt command that is acknowledged without effect.
TEST_F(tcp_test, control_port_answers_each_line)
{
    control_server control(m_context, {"127.0.0.1", 0}, *m_proxy);
    tcp::socket socket(m_context);
    socket.connect({boost::asio::ip::address_v4::loopback(), control.address().m_port});
    const auto client = std::make_shared<tcp_peer>(std::move(socket));
    client->read();
    client->send(R"({"command":"set","link":"*","faults":{"delay_ms":7},"direction":"forward"})"
                 "\n"
                 R"({"command":"set","link":"*","faults":{"delay":7}})"
                 "\n"
                 R"({"command":"set","link":"north","faults":{}})"
                 "\nnot json\n");
    run_until([&] {
        return std::count(client->m_received.begin(), client->m_received.end(), '\n') == 4;
    });
    EXPECT_EQ(client->m_received.find(R"({"links":1,"ok":true})"), 0U);
    EXPECT_NE(client->m_received.find("delay: expected the name of a fault"), std::string::npos);
    EXPECT_NE(client->m_received.find("no link matches north"), std::string::npos);
    EXPECT_EQ(direction("forward").at("faults").at("delay_ms"), 7.0);
    EXPECT_EQ(direction("backward").at("faults").at("delay_ms"), 0.0);
}

TEST(matches, star_stands_for_any_text)
{
    EXPECT_TRUE(matches("a/*->b/*", "a/n1->b/n2"));
    EXPECT_FALSE(matches("a/*->b/*", "b/n1->a/n2"));
    EXPECT_TRUE(matches("*", ""));
    EXPECT_FALSE(matches("a", "ab"));
}

TEST(proxy_settings, reads_links_and_names_errors)
{
    const auto settings = parse_settings(json::parse(
        R"({"links":[{"name":"a","protocol":"udp","listen":"127.0.0.1:1","target":"127.0.0.1:2",
            "forward":{"delay_ms":2.5}}]})"));
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings.value().m_links[0].m_forward.m_delay, duration(2500));
    EXPECT_FALSE(parse_settings(json::parse(R"({"links":[{"name":"a"}]})")));
    EXPECT_FALSE(parse_settings(json::parse(R"({"sed":1})")));
    const auto link = parse_link("udp:127.0.0.1:1=127.0.0.1:2", "x");
    ASSERT_TRUE(link);
    EXPECT_EQ(link.value().m_protocol, link_protocol::udp);
    EXPECT_EQ(link.value().m_target.m_port, 2);
    EXPECT_FALSE(parse_link("127.0.0.1:1", "x"));
}

} // namespace
} // namespace azureladder::proxy
