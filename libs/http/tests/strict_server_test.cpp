#include "raw_socket.hpp"

#include <azureladder/http/server.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <mutex>
#include <thread>

namespace azureladder::http {
namespace {

using testing::EndsWith;
using testing::HasSubstr;
using testing::StartsWith;

constexpr std::size_t test_body_limit = 100;

class strict_server_test : public testing::Test
{
protected:
    void SetUp() override { ASSERT_TRUE(m_server.start()); }

    static server_options options()
    {
        server_options result;
        result.m_max_body_bytes = test_body_limit;
        return result;
    }

    response handle(const request& message)
    {
        const std::lock_guard lock(m_mutex);
        m_calls.push_back(message);
        return {200, {{"X-Call", std::to_string(m_calls.size())}}, message.m_body + "|"};
    }

    /// Sends `bytes` and expects a response with `status`, a closed connection and no handler call.
    void expect_rejection(const std::string& bytes, int status)
    {
        const auto calls_before = calls().size();
        raw_socket socket(m_server.bound_address());
        socket.send(bytes);
        const auto answer = socket.receive_all();
        EXPECT_THAT(answer, StartsWith("HTTP/1.1 " + std::to_string(status) + " ")) << bytes;
        EXPECT_THAT(answer, HasSubstr("Connection: close")) << bytes;
        EXPECT_THAT(answer, EndsWith("<closed>")) << bytes;
        EXPECT_EQ(calls().size(), calls_before) << bytes;
    }

    std::vector<request> calls()
    {
        const std::lock_guard lock(m_mutex);
        return m_calls;
    }

    std::mutex m_mutex;
    std::vector<request> m_calls;
    server m_server{options(), [this](const request& message) { return handle(message); }};
};

// Guards against request smuggling by bytes after the declared body.
TEST_F(strict_server_test, bytes_after_the_declared_body_are_rejected)
{
    expect_rejection("POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody"
                     "GET /b HTTP/1.1\r\nHost: x\r\n\r\n",
                     400);
    expect_rejection("POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nbodyx", 400);
    expect_rejection("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 400);
}

// Guards against a request whose end two parsers could determine differently.
TEST_F(strict_server_test, ambiguous_lengths_are_rejected)
{
    const std::string start = "POST /a HTTP/1.1\r\n";
    expect_rejection(start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody", 400);
    expect_rejection(start + "Transfer-Encoding: chunked\r\ncontent-length: 4\r\n\r\nbody", 400);
    expect_rejection(start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody", 400);
    expect_rejection(start + "Content-Length: 4, 4\r\n\r\nbody", 400);
    for (const auto* length : {"-1", "4x", "0x4", "+4", "", "4 4", "99999999999999999999"})
        expect_rejection(start + "Content-Length: " + length + "\r\n\r\nbody", 400);
}

// Guards against closing the connection of a chunked request without a response.
TEST_F(strict_server_test, chunked_requests_are_answered_with_411)
{
    expect_rejection("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                     411);
    expect_rejection("POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 411);
}

// Guards against header lines that parsers interpret differently.
TEST_F(strict_server_test, malformed_heads_are_rejected)
{
    expect_rejection("POST /a HTTP/1.1\r\nContent-Length : 4\r\n\r\nbody", 400);
    expect_rejection("GET /a HTTP/1.1\r\nA: b\r\n folded\r\n\r\n", 400);
    expect_rejection("GET /a HTTP/1.1\r\nA: b\n\r\n", 400);
    expect_rejection("GET /a HTTP/1.1\r\nA: b\x01\r\n\r\n", 400);
    expect_rejection("GET /a\x7f HTTP/1.1\r\nA: b\r\n\r\n", 400);
}

// Guards against waiting for, or storing, a body that exceeds the limit.
TEST_F(strict_server_test, large_bodies_are_rejected_before_they_are_read)
{
    expect_rejection("POST /a HTTP/1.1\r\nContent-Length: 10000000000\r\n\r\n", 413);
    expect_rejection("POST /a HTTP/1.1\r\nContent-Length: 101\r\nExpect: 100-continue\r\n\r\n",
                     413);
    expect_rejection(
        "POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + std::string(1'000'000, 'x'), 413);
}

// Guards against a handler call with an incomplete body.
TEST_F(strict_server_test, short_bodies_do_not_reach_the_handler)
{
    raw_socket socket(m_server.bound_address());
    socket.send("POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nbod");
    socket.shutdown_sending();
    EXPECT_THAT(socket.receive_all(), StartsWith("HTTP/1.1 400 "));
    EXPECT_TRUE(calls().empty());
}

// Guards against a caller that stops in the middle of a body and blocks a thread indefinitely.
TEST_F(strict_server_test, late_bodies_are_answered_with_408)
{
    auto short_timeout = options();
    short_timeout.m_read_timeout = milliseconds(50);
    server target(short_timeout, [this](const request& message) { return handle(message); });
    ASSERT_TRUE(target.start());
    raw_socket socket(target.bound_address());
    socket.send("POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nbod");
    EXPECT_THAT(socket.receive_all(), StartsWith("HTTP/1.1 408 "));
    EXPECT_TRUE(calls().empty());
}

// Guards against a missing interim response that the caller waits for.
TEST_F(strict_server_test, expect_100_continue_gets_an_interim_answer)
{
    raw_socket socket(m_server.bound_address());
    socket.send("POST /a HTTP/1.1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
    EXPECT_EQ(socket.receive_until("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    socket.send("body");
    EXPECT_THAT(socket.receive_until("body|"), StartsWith("HTTP/1.1 200 OK\r\n"));
    expect_rejection("GET /a HTTP/1.1\r\nExpect: 200-ok\r\n\r\n", 417);
}

// Guards against a header that is lost or parsed wrongly because it arrives in several segments.
TEST_F(strict_server_test, request_in_single_bytes_is_accepted)
{
    raw_socket socket(m_server.bound_address());
    const std::string text = "POST /a/b%20c?d=%2F HTTP/1.1\r\nHost: x\r\nX-Key: v w\r\n"
                             "Content-Length: 4\r\n\r\nbody";
    for (const char byte : text) {
        socket.send(std::string(1, byte));
        std::this_thread::sleep_for(milliseconds(1));
    }
    EXPECT_THAT(socket.receive_until("body|"), StartsWith("HTTP/1.1 200 OK\r\n"));
    ASSERT_EQ(calls().size(), 1U);
    EXPECT_EQ(calls()[0].m_target, "/a/b%20c?d=%2F");
    EXPECT_EQ(*find_header(calls()[0].m_headers, "x-key"), "v w");
    EXPECT_EQ(calls()[0].m_body, "body");
}

// Guards against framing checks that apply only to headers that arrive in one segment.
TEST_F(strict_server_test, split_heads_are_checked_too)
{
    for (const auto* headers : {"Content-Length: 4\r\nContent-Length: 5\r\n\r\n",
                                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
                                "Content-Length: -1\r\n\r\n"}) {
        raw_socket socket(m_server.bound_address());
        socket.send("POST /a HTTP/1.1\r\nHo");
        std::this_thread::sleep_for(milliseconds(20));
        socket.send(std::string("st: x\r\n") + headers + "body");
        EXPECT_THAT(socket.receive_all(), StartsWith("HTTP/1.1 400 ")) << headers;
    }
    EXPECT_TRUE(calls().empty());
}

// Guards against a later segment of a header that looks like a request line and replaces the first.
TEST_F(strict_server_test, segment_that_looks_like_a_request_is_part_of_the_header)
{
    raw_socket socket(m_server.bound_address());
    socket.send("POST /first HTTP/1.1\r\nX-Long: ");
    std::this_thread::sleep_for(milliseconds(20));
    socket.send("GET /second HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_THAT(socket.receive_until("|"), StartsWith("HTTP/1.1 200 OK\r\n"));
    ASSERT_EQ(calls().size(), 1U);
    EXPECT_EQ(calls()[0].m_method, "POST");
    EXPECT_EQ(calls()[0].m_target, "/first");
}

// Guards against a wrong start of the next request on a reused connection after a body.
TEST_F(strict_server_test, connection_carries_several_requests)
{
    raw_socket socket(m_server.bound_address());
    for (int i = 1; i <= 3; ++i) {
        socket.send("POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nGET ");
        EXPECT_THAT(socket.receive_until("GET |"), HasSubstr("X-Call: "));
        socket.send("PUT /b%2F HTTP/1.1\r\nHost: x\r\nContent-Length: 60\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(5));
        socket.send(std::string(60, 'y'));
        EXPECT_THAT(socket.receive_until("y|"), HasSubstr("X-Call: "));
    }
    ASSERT_EQ(calls().size(), 6U);
    EXPECT_EQ(calls()[5].m_method, "PUT");
    EXPECT_EQ(calls()[5].m_target, "/b%2F");
    EXPECT_EQ(calls()[5].m_body, std::string(60, 'y'));
}

} // namespace
} // namespace azureladder::http
