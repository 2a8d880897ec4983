#include "raw_socket.hpp"

#include <azureladder/http/client.hpp>
#include <azureladder/http/server.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <future>
#include <stdexcept>
#include <thread>

namespace azureladder::http {
namespace {

using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

// Guards against a body in the response to HEAD, which the caller would read as the start of the
// next response, and against a wrong Content-Length in that response.
TEST(http_server, head_has_the_length_but_no_body)
{
    server target({}, [](const request& message) {
        response answer{200, {}, "hello"};
        if (message.m_target == "/given")
            answer.m_headers.push_back({"Content-Length", "77"});
        return answer;
    });
    ASSERT_TRUE(target.start());
    raw_socket socket(target.bound_address());
    socket.send("HEAD /body HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_THAT(socket.receive_until("\r\n\r\n"), HasSubstr("Content-Length: 5\r\n"));
    socket.send("HEAD /given HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto second = socket.receive_until("\r\n\r\n");
    EXPECT_THAT(second, StartsWith("HTTP/1.1 200 OK\r\n"));
    EXPECT_THAT(second, HasSubstr("Content-Length: 77\r\n"));
}

// Guards against forwarding headers that contradict the framing that the server writes.
TEST(http_server, response_headers_are_as_given_except_framing)
{
    server target({}, [](const request&) {
        return response{201,
                        {{"Content-Type", "text/x"},
                         {"Content-Length", "99"},
                         {"Transfer-Encoding", "chunked"},
                         {"Set-Cookie", "a"},
                         {"Set-Cookie", "b"}},
                        "hello"};
    });
    ASSERT_TRUE(target.start());
    raw_socket socket(target.bound_address());
    socket.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto answer = socket.receive_until("hello");
    EXPECT_THAT(answer, StartsWith("HTTP/1.1 201 Created\r\n"));
    EXPECT_THAT(answer, HasSubstr("Content-Type: text/x\r\n"));
    EXPECT_THAT(answer, HasSubstr("Content-Length: 5\r\n"));
    EXPECT_THAT(answer, Not(HasSubstr("99")));
    EXPECT_THAT(answer, Not(HasSubstr("chunked")));
    EXPECT_THAT(answer, HasSubstr("Set-Cookie: a\r\nSet-Cookie: b\r\n"));
}

// Guards against a malformed response of another node that is passed on.
TEST(http_server, malformed_responses_are_not_sent)
{
    response malformed;
    server target({}, [&malformed](const request&) { return malformed; });
    ASSERT_TRUE(target.start());
    client caller(target.bound_address());
    // Status 0 closes the connection (close_without_response).
    malformed = {0, {}, "body"};
    EXPECT_FALSE(caller.execute({"GET", "/", {}, {}, {}}));
    for (const auto& candidate : std::vector<response>{{99, {}, "body"},
                                                       {101, {}, "body"},
                                                       {600, {}, "body"},
                                                       {200, {{" X", "1"}}, "body"},
                                                       {200, {{"X Y", "1"}}, "body"},
                                                       {200, {{"X\x01", "1"}}, "body"}}) {
        malformed = candidate;
        const auto reply = caller.execute({"GET", "/", {{"Request-Id", "r1"}}, {}, {}});
        ASSERT_TRUE(reply) << reply.error().m_message;
        EXPECT_EQ(reply.value().m_status, 500);
        EXPECT_TRUE(reply.value().m_body.empty());
        EXPECT_EQ(*find_header(reply.value().m_headers, "Azureladder-Executed"), "unknown");
    }
}

// Guards against response splitting, a header above the size limit, and a handler exception that
// terminates the server.
TEST(http_server, unsendable_responses_become_500)
{
    server target({}, [](const request& message) {
        if (message.m_target == "/throw")
            throw std::runtime_error("handler failed");
        const auto value =
            message.m_target == "/split" ? std::string("a\r\nX: y") : std::string(5'000, 'v');
        return response{200, {{"X-Value", value}}, "hello"};
    });
    ASSERT_TRUE(target.start());
    client caller(target.bound_address());
    for (const auto* path : {"/throw", "/split", "/large"}) {
        const auto reply = caller.execute({"GET", path, {{"Request-Id", "r1"}}, {}, {}});
        ASSERT_TRUE(reply) << path << reply.error().m_message;
        EXPECT_EQ(reply.value().m_status, 500) << path;
        EXPECT_EQ(find_header(reply.value().m_headers, "X-Value"), nullptr);
        EXPECT_EQ(*find_header(reply.value().m_headers, "Azureladder-Executed"), "unknown");
        EXPECT_EQ(*find_header(reply.value().m_headers, "Request-Id"), "r1");
    }
}

// Guards against a request header above the size limit of cxxtools that reaches the handler
// truncated.
TEST(http_server, oversized_header_closes_the_connection)
{
    std::atomic<int> calls{0};
    server target({}, [&calls](const request&) {
        ++calls;
        return response{};
    });
    ASSERT_TRUE(target.start());
    raw_socket socket(target.bound_address());
    socket.send("GET / HTTP/1.1\r\nX: " + std::string(5'000, 'x') + "\r\n\r\n");
    EXPECT_THAT(socket.receive_all(), Not(HasSubstr("200")));
    EXPECT_EQ(calls, 0);
}

// Guards against a stop that interrupts a running request or loses its response.
TEST(http_server, stop_waits_for_running_requests_and_their_responses)
{
    std::promise<void> entered;
    std::promise<void> may_finish;
    server target({}, [&](const request&) {
        entered.set_value();
        may_finish.get_future().wait();
        return response{200, {}, std::string(8'000'000, 'x') + "end"};
    });
    ASSERT_TRUE(target.start());
    raw_socket socket(target.bound_address());
    socket.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    entered.get_future().wait();
    std::thread stopper([&target] { target.stop(); });
    may_finish.set_value();
    EXPECT_THAT(socket.receive_until("xend"), StartsWith("HTTP/1.1 200 OK\r\n"));
    stopper.join();
}

// Guards against a stop that waits for a caller that does not send its complete body.
TEST(http_server, stop_does_not_wait_for_incomplete_bodies)
{
    server_options options;
    options.m_read_timeout = seconds(1'000);
    server target(options, [](const request&) { return response{}; });
    ASSERT_TRUE(target.start());
    raw_socket socket(target.bound_address());
    socket.send("POST / HTTP/1.1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
    socket.receive_until("\r\n\r\n");
    target.stop();
    EXPECT_THAT(socket.receive_all(), StartsWith("HTTP/1.1 503 "));
}

// Guards against handler calls after `reject_new_requests()`, on open and on new connections.
TEST(http_server, new_requests_are_rejected_on_open_and_new_connections)
{
    std::atomic<int> calls{0};
    server target({}, [&calls](const request&) {
        ++calls;
        return response{200, {}, "hello"};
    });
    ASSERT_TRUE(target.start());
    raw_socket open(target.bound_address());
    open.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    open.receive_until("hello");
    target.reject_new_requests();
    open.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_THAT(open.receive_all(), StartsWith("HTTP/1.1 503 "));
    raw_socket fresh(target.bound_address());
    fresh.send("GET / HTTP/1.1\r\nRequest-Id: r1\r\n\r\n");
    const auto rejected = fresh.receive_all();
    EXPECT_THAT(rejected, StartsWith("HTTP/1.1 503 "));
    EXPECT_THAT(rejected, HasSubstr("Azureladder-Executed: no\r\n"));
    EXPECT_THAT(rejected, HasSubstr("Request-Id: r1\r\n"));
    EXPECT_EQ(calls, 1);
}

// Guards against a server that reports a successful start on an address that is in use.
TEST(http_server, start_fails_on_a_taken_address)
{
    server first({}, [](const request&) { return response{}; });
    ASSERT_TRUE(first.start());
    server_options options;
    options.m_listen_address = first.bound_address();
    server second(options, [](const request&) { return response{}; });
    EXPECT_FALSE(second.start());
}

} // namespace
} // namespace azureladder::http
