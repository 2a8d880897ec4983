#include "scripted_server.hpp"

#include <azureladder/http/client.hpp>

#include <gtest/gtest.h>

#include <future>

namespace azureladder::http {
namespace {

using kind = client_error_kind;

constexpr const char* end_of_head = "\r\n\r\n";
const request get{"GET", "/", {}, {}, {}};
const request post{"POST", "/", {}, "body", {}};

/// Options with a timeout that does not expire in a passing test.
execute_options generous_timeout(connection_use use = connection_use::pooled)
{
    execute_options options;
    options.m_timeout = seconds(20);
    options.m_connection = use;
    return options;
}

/// Result of one exchange with a server that sends `reply` and closes the connection.
result<response, client_error> exchange(const std::string& reply, const request& message = get)
{
    scripted_server server([&reply](raw_socket& socket, int) {
        socket.receive_until(end_of_head);
        socket.send(reply);
    });
    client caller(server.address());
    return caller.execute(message, generous_timeout());
}

kind error_kind_of(const std::string& reply, const request& message = get)
{
    const auto outcome = exchange(reply, message);
    EXPECT_FALSE(outcome) << reply;
    return outcome ? kind::not_sent : outcome.error().m_kind;
}

// Guards against a request that is resent after the server closed a reused connection: the server
// may have executed it.
TEST(http_client, post_on_a_connection_closed_by_the_server_is_lost_and_sent_once)
{
    std::atomic<int> received{0};
    scripted_server server([&received](raw_socket& socket, int) {
        socket.receive_until("body");
        ++received;
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        if (socket.receive_until("body").find("POST") == 0)
            ++received;
    });
    client caller(server.address());
    ASSERT_TRUE(caller.execute(post, generous_timeout()));
    const auto second = caller.execute(post, generous_timeout());
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().m_kind, kind::lost);
    EXPECT_FALSE(nothing_was_sent(second.error().m_kind));
    EXPECT_EQ(received, 2);
    EXPECT_EQ(server.connection_count(), 1);
}

// Guards against an error when the server closed an idle connection: no byte was written, so the
// request can be sent on a new connection.
TEST(http_client, closed_pooled_connection_is_replaced_before_the_write)
{
    std::promise<void> closed;
    scripted_server server([&closed](raw_socket& socket, int number) {
        socket.receive_until("body");
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        if (number == 1) {
            socket.close();
            closed.set_value();
        }
    });
    client caller(server.address());
    ASSERT_TRUE(caller.execute(post, generous_timeout()));
    closed.get_future().wait();
    EXPECT_TRUE(caller.execute(post, generous_timeout()));
    EXPECT_EQ(server.connection_count(), 2);
}

// Guards against a truncated body that is reported as a complete one.
TEST(http_client, cut_bodies_are_truncated)
{
    const std::string length = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    EXPECT_EQ(error_kind_of(length), kind::truncated);
    EXPECT_EQ(error_kind_of(length + "123456789"), kind::truncated);
    for (const auto* body : {"", "5", "5\r\n", "5\r\nhel", "5\r\nhello", "5\r\nhello\r\n",
                             "5\r\nhello\r\n0", "5\r\nhello\r\n0\r\n", "0\r\nX: y\r\n"})
        EXPECT_EQ(error_kind_of(chunked + body), kind::truncated) << body;
}

// Guards against another error than `lost` when the connection ends before the response header is
// complete.
TEST(http_client, connection_without_a_whole_header_is_lost)
{
    EXPECT_EQ(error_kind_of(""), kind::lost);
    EXPECT_EQ(error_kind_of("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"), kind::lost);
    EXPECT_EQ(error_kind_of("HTTP/1.1 100 Continue\r\n\r\n"), kind::lost);
}

// Guards against accepting responses whose length is ambiguous or unknown.
TEST(http_client, malformed_responses_are_rejected)
{
    for (const auto* reply :
         {"HTTP/2 200 OK\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n",
          "HTTP/1.1 200 OK\r\n\r\nbody until close",
          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n\r\nbody",
          "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff1\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbodyX\r\n0\r\n\r\n"})
        EXPECT_EQ(error_kind_of(reply), kind::malformed_reply) << reply;
}

// Guards against a response with an invalid status or field name that is taken as an answer.
TEST(http_client, invalid_status_and_field_names_are_rejected)
{
    for (const auto* status : {"000", "099", "101", "600", "999"})
        EXPECT_EQ(error_kind_of("HTTP/1.1 " + std::string(status) +
                                " X\r\nContent-Length: 4\r\n\r\nbody"),
                  kind::malformed_reply)
            << status;
    for (const auto* line : {"X Y: 1", "X : 1", " X: 1", "\tX: 1", "X\x01Y: 1", "X\nY: 1",
                             "X\x7f: 1", " Content-Length: 4"})
        EXPECT_EQ(error_kind_of("HTTP/1.1 200 OK\r\nA: b\r\n" + std::string(line) +
                                "\r\nContent-Length: 4\r\n\r\nbody"),
                  kind::malformed_reply)
            << line;
}

// Guards against a part of a body that is taken as complete: the server responds before it has read
// the request and resets the connection.
TEST(http_client, reset_during_an_upload_ends_no_body_without_length)
{
    for (const std::string part : {"", "part"}) {
        scripted_server server([&part](raw_socket& socket, int) {
            socket.receive_until(end_of_head);
            socket.send("HTTP/1.1 200 OK\r\n\r\n" + part);
            std::this_thread::sleep_for(milliseconds(50));
            // Closing with unread bytes resets the connection.
            socket.close();
        });
        client caller(server.address());
        request upload = post;
        upload.m_body.assign(16'000'000, 'b');
        EXPECT_FALSE(caller.execute(upload, generous_timeout()));
    }
}

// Guards against bytes that are lost or duplicated at segment boundaries.
TEST(http_client, replies_in_single_bytes)
{
    for (const auto* reply :
         {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\n"
          "T: 1\r\n\r\n"}) {
        scripted_server server([reply](raw_socket& socket, int) {
            socket.receive_until(end_of_head);
            for (const char byte : std::string(reply)) {
                socket.send(std::string(1, byte));
                std::this_thread::yield();
            }
        });
        client caller(server.address());
        const auto outcome = caller.execute(get, generous_timeout());
        ASSERT_TRUE(outcome) << outcome.error().m_message;
        EXPECT_EQ(outcome.value().m_status, 200);
        EXPECT_EQ(outcome.value().m_body, "hello");
    }
}

// Guards against surplus bytes after one response that are read as the start of the next response.
TEST(http_client, connection_with_surplus_bytes_is_not_reused)
{
    scripted_server server([](raw_socket& socket, int) {
        while (socket.receive_until(end_of_head).find("GET") == 0)
            socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 X\r\n");
    });
    client caller(server.address());
    for (int i = 1; i <= 3; ++i) {
        const auto outcome = caller.execute(get, generous_timeout());
        ASSERT_TRUE(outcome);
        EXPECT_EQ(outcome.value().m_status, 200);
        EXPECT_EQ(outcome.value().m_body, "ok");
        EXPECT_EQ(server.connection_count(), i);
    }
}

// Guards against waiting for a body in responses that have none by definition.
TEST(http_client, replies_without_body)
{
    const request head{"HEAD", "/", {}, {}, {}};
    EXPECT_TRUE(exchange("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", head));
    EXPECT_TRUE(exchange("HTTP/1.1 204 No Content\r\n\r\n"));
    EXPECT_TRUE(exchange("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"));
    EXPECT_TRUE(exchange("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
}

// Guards against a retry, or a reuse of a pooled connection, when a new connection is requested.
TEST(http_client, fresh_exchanges_use_a_connection_each)
{
    scripted_server server([](raw_socket& socket, int) {
        while (socket.receive_until("body").find("POST") == 0)
            socket.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    client caller(server.address());
    ASSERT_TRUE(caller.execute(post, generous_timeout()));
    ASSERT_TRUE(caller.execute(post, generous_timeout(connection_use::fresh)));
    ASSERT_TRUE(caller.execute(post, generous_timeout(connection_use::fresh)));
    EXPECT_EQ(server.connection_count(), 3);
    ASSERT_TRUE(caller.execute(post, generous_timeout()));
    EXPECT_EQ(server.connection_count(), 3);
}

// Guards against sending a request after `m_before_send` returned false.
TEST(http_client, before_send_returning_false_prevents_the_write)
{
    std::promise<std::string> received;
    scripted_server server(
        [&received](raw_socket& socket, int) { received.set_value(socket.receive_all()); });
    auto options = generous_timeout(connection_use::fresh);
    options.m_before_send = [] { return false; };
    client caller(server.address());
    const auto outcome = caller.execute(post, options);
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().m_kind, kind::not_sent);
    EXPECT_TRUE(nothing_was_sent(outcome.error().m_kind));
    EXPECT_EQ(received.get_future().get(), "<closed>");
}

// Guards against an exchange that ignores cancellation, and against reporting a cancelled exchange
// as `not_sent` after the request was written.
TEST(http_client, cancel_from_another_thread_ends_the_exchange)
{
    std::promise<void> received;
    scripted_server server([&received](raw_socket& socket, int) {
        socket.receive_until("body");
        received.set_value();
        socket.receive_all();
    });
    client caller(server.address());
    auto options = generous_timeout();
    options.m_cancel_token = std::make_shared<cancel_token>();
    std::thread canceller([&] {
        received.get_future().wait();
        options.m_cancel_token->cancel();
    });
    const auto outcome = caller.execute(post, options);
    canceller.join();
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().m_kind, kind::cancelled);
    const auto again = caller.execute(post, options);
    ASSERT_FALSE(again);
    EXPECT_EQ(again.error().m_kind, kind::not_sent);
    EXPECT_EQ(server.connection_count(), 1);
}

// Guards against a late response that a later exchange on the same connection reads as its own.
TEST(http_client, timed_out_exchange_closes_its_connection)
{
    scripted_server server([](raw_socket& socket, int number) {
        socket.receive_until(end_of_head);
        if (number > 1)
            socket.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
        socket.receive_all();
    });
    client caller(server.address());
    execute_options short_timeout;
    short_timeout.m_timeout = milliseconds(300);
    const auto late = caller.execute(get, short_timeout);
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().m_kind, kind::timed_out);
    EXPECT_EQ(caller.execute(get, generous_timeout()).value().m_body, "right");
    EXPECT_EQ(server.connection_count(), 2);
}

// Guards against a refused connection after which the request counts as sent.
TEST(http_client, refused_connection_is_connect_failed)
{
    endpoint unused;
    {
        const scripted_server server([](raw_socket&, int) {});
        unused = server.address();
    }
    client caller(unused);
    const auto outcome = caller.execute(post, generous_timeout());
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().m_kind, kind::connect_failed);
    EXPECT_TRUE(nothing_was_sent(outcome.error().m_kind));
}

// Guards against more open connections than `m_max_connections` over all threads.
TEST(http_client, connections_are_limited)
{
    std::atomic<int> open{0};
    std::atomic<int> peak{0};
    scripted_server server([&](raw_socket& socket, int) {
        const int now = ++open;
        peak = std::max(peak.load(), now);
        while (socket.receive_until("body").find("POST") == 0)
            socket.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        --open;
    });
    client_options limits;
    limits.m_max_connections = 2;
    client caller(server.address(), limits);
    std::vector<std::thread> threads(8);
    for (auto& thread : threads)
        thread = std::thread([&] {
            for (int k = 0; k < 20; ++k)
                EXPECT_TRUE(caller.execute(post, generous_timeout()));
        });
    for (auto& thread : threads)
        thread.join();
    EXPECT_LE(server.connection_count(), 2);
    EXPECT_LE(peak, 2);
}

// Guards against request splitting by a line break in a header value.
TEST(http_client, requests_with_line_breaks_are_not_sent)
{
    client caller({"127.0.0.1", 1});
    for (const auto& message : {request{"GET", "/", {{"X", "a\r\nY: b"}}, {}, {}},
                                request{"GET", "/ x", {}, {}, {}}, request{"G T", "/", {}, {}, {}}})
        EXPECT_EQ(caller.execute(message, generous_timeout()).error().m_kind, kind::not_sent);
}

} // namespace
} // namespace azureladder::http
