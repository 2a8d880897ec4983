#include "byte_budget.hpp"
#include "byte_reservation.hpp"
#include "connection_limits.hpp"
#include "http_listener.hpp"

#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <sys/socket.h>

namespace azureladder::sidecar_runtime {

namespace {

using time = byte_reservation::time_point;

std::string read_some(tcp::socket& client)
{
    char bytes[1024];
    const auto size = recv(client.native_handle(), bytes, sizeof bytes, MSG_DONTWAIT);
    return size < 0 ? "open" : std::string(bytes, static_cast<std::size_t>(size));
}

} // namespace

// Guards against ordinary clients that give way to smaller ones that make no progress.
TEST(byte_budget, bytes_that_wait_for_a_client_are_given_up_first)
{
    const time now = time{} + seconds(100);
    byte_budget budget(1000);
    std::string revoked;
    byte_reservation ordinary(budget, [&] { revoked += "ordinary"; });
    byte_reservation stalled(budget, [&] { revoked += "stalled"; });
    byte_reservation growing(budget, [&] { revoked += "growing"; });
    ASSERT_TRUE(ordinary.resize(600, now));
    stalled.set_waiting_since(now - seconds(3));
    ASSERT_TRUE(stalled.resize(100, now));
    EXPECT_TRUE(growing.resize(400, now));
    EXPECT_EQ(revoked, "stalled");
}

// Guards against requests in execution that are given up for others.
TEST(byte_budget, bytes_in_use_are_not_given_up)
{
    byte_budget budget(1000);
    byte_reservation executing(budget, [] { FAIL(); });
    byte_reservation growing(budget, [] { FAIL(); });
    ASSERT_TRUE(executing.resize(900));
    executing.set_revocable(false);
    EXPECT_FALSE(growing.resize(200));
    EXPECT_TRUE(growing.resize(100));
}

// Guards against silent connections that keep others from being accepted.
TEST(http_listener, closes_the_connection_that_waits_longest_for_its_client)
{
    asio::io_context io;
    const std::uint16_t port =
        tcp::acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}).local_endpoint().port();
    http_session::callbacks callbacks;
    std::string dropped;
    callbacks.m_on_request = [](const auto& session, std::uint64_t number,
                                const http_request& request) {
        if (request.m_target == "/done")
            session->respond(number, {200, {}, ""});
        return false;
    };
    callbacks.m_on_disconnect = [](const http_session&, std::uint64_t) {};
    callbacks.m_on_dropped = [&](const char* cause) { dropped += cause; };
    callbacks.m_limits = [] { return routing::client_limits{}; };
    callbacks.m_is_draining = [] { return false; };
    http_listener listener(io, {"127.0.0.1", port}, callbacks, 3);
    const auto connect = [&](const std::string& bytes) {
        tcp::socket client(io);
        client.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(client, asio::buffer(bytes));
        io.run_for(milliseconds(30));
        return client;
    };
    tcp::socket done = connect("GET /done HTTP/1.1\r\nHost: h\r\n\r\n");
    tcp::socket executing = connect("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    tcp::socket silent = connect("GET /half HTTP/1.1\r\n");
    EXPECT_NE(read_some(done), "open");
    tcp::socket last = connect("GET /done HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(read_some(silent), "");
    EXPECT_EQ(read_some(done), "open");
    EXPECT_EQ(read_some(executing), "open");
    EXPECT_NE(read_some(last), "open");
    EXPECT_EQ(dropped, "connections");
}

// Guards against a rejection for each further part of the input, which all stay in memory while an
// earlier request is executed.
TEST(http_session, rejects_input_without_memory_once)
{
    byte_budget budget(6000);
    asio::io_context io;
    const std::uint16_t port =
        tcp::acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}).local_endpoint().port();
    int rejections = 0;
    http_session::callbacks callbacks;
    callbacks.m_on_request = [](const auto&, std::uint64_t, const http_request&) { return true; };
    callbacks.m_on_disconnect = [](const http_session&, std::uint64_t) {};
    callbacks.m_on_rejected = [&](int, const std::string&) { ++rejections; };
    callbacks.m_limits = [] { return routing::client_limits{}; };
    callbacks.m_is_draining = [] { return false; };
    callbacks.m_request_budget = &budget;
    http_listener listener(io, {"127.0.0.1", port}, callbacks);
    tcp::socket client(io);
    client.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(client, asio::buffer("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", 31));
    io.run_for(milliseconds(30));
    for (int i = 0; i < 5; ++i) {
        asio::write(client, asio::buffer(std::string(12'000, 'x')));
        io.run_for(milliseconds(30));
    }
    EXPECT_EQ(rejections, 1);
}

// Guards against listeners that together leave no descriptors for the store and the backend server.
TEST(connection_limits, leave_a_part_of_the_descriptors)
{
    for (const std::size_t descriptors : {256U, 4100U, 8192U, 1'000'000U}) {
        const auto limits = connection_limits_for(descriptors);
        EXPECT_LT(limits.m_callers + 3 * limits.m_control + limits.m_unidentified_peers,
                  descriptors * 9 / 10);
    }
    EXPECT_EQ(connection_limits_for(8192).m_callers, 2500U);
    EXPECT_EQ(connection_limits_for(4100).m_callers, 2500U);
}

} // namespace azureladder::sidecar_runtime
