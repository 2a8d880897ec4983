#include "http_listener.hpp"

#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <vector>

namespace azureladder::sidecar_runtime {

namespace {

/// A listener whose requests are answered by the test, and a connected client. Targets that begin
/// with "/read" are idempotent.
struct pipelined_session
{
    asio::io_context m_io;
    bool m_is_draining = false;
    int m_writes = 0;
    std::vector<std::string> m_started;
    std::vector<std::uint64_t> m_abandoned;
    std::map<std::string, std::uint64_t> m_numbers;
    std::shared_ptr<http_session> m_session;
    std::unique_ptr<http_listener> m_listener;
    tcp::socket m_client{m_io};

    pipelined_session()
    {
        tcp::acceptor probe(m_io, {asio::ip::make_address("127.0.0.1"), 0});
        const std::uint16_t port = probe.local_endpoint().port();
        probe.close();
        http_session::callbacks callbacks;
        const auto is_idempotent = [](const http_request& request) {
            return request.m_target.rfind("/read", 0) == 0;
        };
        callbacks.m_on_request = [this, is_idempotent](const auto& session, std::uint64_t number,
                                                       const http_request& request) {
            m_session = session;
            m_started.push_back(request.m_target);
            m_numbers[request.m_target] = number;
            return is_idempotent(request);
        };
        callbacks.m_on_disconnect = [this](const http_session&, std::uint64_t number) {
            m_abandoned.push_back(number);
        };
        callbacks.m_limits = [] { return routing::client_limits{}; };
        callbacks.m_is_draining = [this] { return m_is_draining; };
        callbacks.m_may_overlap = is_idempotent;
        callbacks.m_on_write = [this](bool is_started) { m_writes += is_started ? 1 : -1; };
        m_listener = std::make_unique<http_listener>(m_io, endpoint{"127.0.0.1", port}, callbacks);
        m_client.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void run() { m_io.run_for(std::chrono::milliseconds(60)); }

    void send(const std::vector<std::string>& targets, const std::string& headers = {},
              const std::string& body = {})
    {
        const std::string length = body.empty()
                                       ? std::string()
                                       : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        std::string bytes;
        for (const auto& target : targets) {
            bytes.append("GET ").append(target).append(" HTTP/1.1\r\nHost: h\r\n");
            bytes.append(headers).append(length).append("\r\n").append(body);
        }
        asio::write(m_client, asio::buffer(bytes));
        run();
    }

    void answer(const std::string& target, int status = 200)
    {
        m_session->respond(m_numbers.at(target), {status, {}, "<" + target + ">"});
        run();
    }

    std::string received()
    {
        char chunk[16384];
        const auto size = recv(m_client.native_handle(), chunk, sizeof chunk, MSG_DONTWAIT);
        return std::string(chunk, size > 0 ? static_cast<std::size_t>(size) : 0);
    }

    bool is_closed_by_server()
    {
        char byte = 0;
        return recv(m_client.native_handle(), &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
    }
};

using targets = std::vector<std::string>;

} // namespace

// Guards against a pipelined request that waits for the execution of the one before it.
TEST(pipelining, idempotent_requests_are_handled_at_the_same_time)
{
    pipelined_session session;
    session.send({"/read1", "/read2", "/read3"});
    EXPECT_EQ(session.m_started, (targets{"/read1", "/read2", "/read3"}));
}

// Guards against a caller that takes the response to a later request for that to an earlier one.
TEST(pipelining, responses_leave_in_the_order_of_the_requests)
{
    pipelined_session session;
    session.send({"/read1", "/read2", "/read3"});
    session.answer("/read3");
    session.answer("/read2", 503);
    EXPECT_EQ(session.received(), "");
    session.answer("/read1", 504);
    const std::string received = session.received();
    const auto first = received.find("</read1>");
    const auto second = received.find("</read2>");
    const auto third = received.find("</read3>");
    ASSERT_NE(third, std::string::npos);
    EXPECT_LT(first, second);
    EXPECT_LT(second, third);
    EXPECT_LT(received.find(" 504 "), received.find(" 503 "));
    session.send({"/read4"});
    session.answer("/read4");
    EXPECT_NE(session.received().find("</read4>"), std::string::npos);
}

// Guards against a non-idempotent request that is executed although its caller sends it again,
// because an earlier response closes the connection.
TEST(pipelining, other_requests_start_after_the_earlier_responses)
{
    pipelined_session session;
    session.send({"/read1", "/order", "/read2"});
    EXPECT_EQ(session.m_started, (targets{"/read1"}));
    session.answer("/read1");
    EXPECT_EQ(session.m_started, (targets{"/read1", "/order"}));
    session.answer("/order");
    EXPECT_EQ(session.m_started, (targets{"/read1", "/order", "/read2"}));
    session.answer("/read2");
    const std::string received = session.received();
    EXPECT_LT(received.find("</order>"), received.find("</read2>"));
}

TEST(pipelining, requests_behind_a_closing_response_are_not_handled)
{
    pipelined_session session;
    session.send({"/read1"}, "Connection: close\r\n");
    session.send({"/read2", "/order"});
    session.answer("/read1");
    EXPECT_EQ(session.m_started, (targets{"/read1"}));
    EXPECT_NE(session.received().find("</read1>"), std::string::npos);
    EXPECT_TRUE(session.is_closed_by_server());
}

// Guards against a planned stop that cuts requests which have been passed on, or that reads further
// ones on the connection.
TEST(pipelining, stop_answers_the_started_requests_and_no_later_ones)
{
    pipelined_session session;
    session.send({"/read1", "/read2", "/order"});
    session.m_is_draining = true;
    session.send({"/read3"});
    session.answer("/read1");
    EXPECT_FALSE(session.is_closed_by_server());
    session.answer("/read2");
    const std::string received = session.received();
    EXPECT_NE(received.find("</read1>"), std::string::npos);
    EXPECT_NE(received.find("</read2>"), std::string::npos);
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
    EXPECT_EQ(session.m_started, (targets{"/read1", "/read2"}));
    EXPECT_TRUE(session.is_closed_by_server());
}

// Guards against a process that ends while it sends a response.
TEST(pipelining, response_counts_as_being_sent_until_the_caller_has_read_it)
{
    pipelined_session session;
    session.send({"/read1"});
    session.m_session->respond(session.m_numbers.at("/read1"),
                               {200, {}, std::string(16U * 1024 * 1024, 'x')});
    session.run();
    EXPECT_EQ(session.m_writes, 1);
    for (int i = 0; i < 10000 && session.m_writes > 0; ++i) {
        while (!session.received().empty())
            continue;
        session.m_io.run_for(std::chrono::milliseconds(1));
    }
    EXPECT_EQ(session.m_writes, 0);
}

// Guards against a last response that is destroyed by the reset of a connection with unread bytes.
TEST(pipelining, response_survives_bytes_that_arrive_after_the_close)
{
    pipelined_session session;
    session.send({"/read1"}, "Connection: close\r\n");
    session.answer("/read1");
    asio::write(session.m_client, asio::buffer(std::string("GET /read2 HTTP/1.1\r\n\r\n")));
    session.run();
    EXPECT_NE(session.received().find("</read1>"), std::string::npos);
    EXPECT_TRUE(session.is_closed_by_server());
}

// Guards against work that continues for a caller that has left with several requests open.
TEST(pipelining, all_open_requests_end_with_their_caller)
{
    pipelined_session session;
    session.send({"/read1", "/read2", "/order"});
    session.answer("/read2");
    session.m_client.close();
    session.run();
    EXPECT_EQ(session.m_abandoned, (std::vector<std::uint64_t>{session.m_numbers.at("/read1")}));
}

// Guards against memory and servers without bound for a caller that pipelines.
TEST(pipelining, open_requests_and_bytes_of_a_connection_are_bounded)
{
    pipelined_session session;
    targets many;
    for (int i = 0; i < 100; ++i)
        many.push_back("/read" + std::to_string(i));
    session.send(many);
    EXPECT_EQ(session.m_started.size(), 16U);
    for (const auto& target : many)
        session.answer(target);
    EXPECT_EQ(session.m_started, many);

    pipelined_session large;
    large.send({"/read1", "/read2", "/read3", "/read4"}, {}, std::string(200U * 1024, 'x'));
    EXPECT_EQ(large.m_started.size(), 2U);
    large.answer("/read1");
    EXPECT_EQ(large.m_started.size(), 3U);
}

// Guards against an interim response between the responses to earlier requests.
TEST(pipelining, interim_response_waits_for_earlier_responses)
{
    pipelined_session session;
    session.send({"/read1"});
    asio::write(session.m_client,
                asio::buffer(std::string("POST /order HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                                         "Expect: 100-continue\r\n\r\n")));
    session.run();
    EXPECT_EQ(session.received(), "");
    session.answer("/read1");
    const std::string received = session.received();
    EXPECT_LT(received.find("</read1>"), received.find(" 100 "));
    ASSERT_NE(received.find(" 100 "), std::string::npos);
    asio::write(session.m_client, asio::buffer(std::string("hi")));
    session.run();
    session.answer("/order");
    EXPECT_NE(session.received().find("</order>"), std::string::npos);
}

// Guards against an event loop that spins on a body whose sender does not wait for the interim
// response.
TEST(pipelining, body_ahead_of_the_interim_response_is_read_later)
{
    pipelined_session session;
    session.send({"/read1"});
    asio::write(session.m_client,
                asio::buffer("POST /order HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n"
                             "Expect: 100-continue\r\n\r\n" +
                             std::string(200'000, 'x')));
    session.run();
    EXPECT_EQ(session.m_started, (targets{"/read1"}));
    session.answer("/read1");
    EXPECT_EQ(session.m_started, (targets{"/read1", "/order"}));
    session.answer("/order");
    EXPECT_NE(session.received().find("</order>"), std::string::npos);
}

// Guards against responses that are lost because a later request is malformed.
TEST(pipelining, malformed_request_is_rejected_after_the_earlier_responses)
{
    pipelined_session session;
    session.send({"/read1"});
    asio::write(session.m_client, asio::buffer(std::string("nonsense\r\n\r\n")));
    session.run();
    EXPECT_EQ(session.received(), "");
    session.answer("/read1");
    const std::string received = session.received();
    EXPECT_LT(received.find("</read1>"), received.find(" 400 "));
    ASSERT_NE(received.find(" 400 "), std::string::npos);
    EXPECT_TRUE(session.is_closed_by_server());
}

} // namespace azureladder::sidecar_runtime
