#include "client_connection.hpp"
#include "http_listener.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <thread>

namespace azureladder::sidecar_runtime {

namespace {

/// A port that was unused at the time of the call.
std::uint16_t free_port(asio::io_context& io)
{
    tcp::acceptor probe(io, {asio::ip::make_address("127.0.0.1"), 0});
    return probe.local_endpoint().port();
}

/// A server that responds to the first request on each connection with fixed bytes.
class scripted_server
{
public:
    scripted_server(asio::io_context& io, std::string response_bytes, bool reset)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
          m_response_bytes(std::move(response_bytes)), m_reset(reset)
    {
        accept();
    }

    endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    int requests() const { return m_requests; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
            if (error)
                return;
            const auto peer_socket = std::make_shared<tcp::socket>(std::move(socket));
            const auto received = std::make_shared<std::string>();
            asio::async_read_until(*peer_socket, asio::dynamic_buffer(*received), "\r\n\r\n",
                                   [this, peer_socket, received](error_code failed, std::size_t) {
                                       if (failed)
                                           return;
                                       ++m_requests;
                                       asio::write(*peer_socket, asio::buffer(m_response_bytes));
                                       if (m_reset)
                                           peer_socket->set_option(
                                               asio::socket_base::linger(true, 0));
                                       peer_socket->close();
                                   });
            accept();
        });
    }

    tcp::acceptor m_acceptor;
    std::string m_response_bytes;
    bool m_reset;
    int m_requests = 0;
};

exchange_outcome exchange(const std::string& response_bytes, bool reset = false,
                          int* requests = nullptr)
{
    asio::io_context io;
    scripted_server server(io, response_bytes, reset);
    const auto connection =
        std::make_shared<client_connection>(io, server.address(), milliseconds(500));
    exchange_outcome result;
    http_request request;
    request.m_headers = {{"Host", "h"}};
    connection->exchange(request, milliseconds(500), nullptr,
                         [&](const exchange_outcome& outcome) { result = outcome; });
    io.run_for(std::chrono::milliseconds(700));
    if (requests != nullptr)
        *requests = server.requests();
    return result;
}

using request_handler =
    std::function<void(http_session& session, std::uint64_t number, const http_request&)>;

/// Sends bytes to a listener and returns all received bytes. The handler echoes the method, target
/// and body of each request by default.
std::string exchange_bytes(
    const std::string& bytes, const routing::client_limits& limits = {},
    const request_handler& handler = [](http_session& session, std::uint64_t number,
                                        const http_request& request) {
        session.respond(number, {200, {}, request.m_method + request.m_target + request.m_body});
    })
{
    asio::io_context io;
    const std::uint16_t port = free_port(io);
    http_session::callbacks callbacks;
    callbacks.m_on_request = [&](const auto& session, std::uint64_t number,
                                 const http_request& request) {
        handler(*session, number, request);
        return false;
    };
    callbacks.m_on_disconnect = [](const http_session&, std::uint64_t) {};
    callbacks.m_limits = [&] { return limits; };
    callbacks.m_is_draining = [] { return false; };
    http_listener listener(io, {"127.0.0.1", port}, callbacks);
    tcp::socket client(io);
    client.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(client, asio::buffer(bytes));
    io.run_for(std::chrono::milliseconds(150));
    char chunk[4096];
    const auto size = recv(client.native_handle(), chunk, sizeof chunk, MSG_DONTWAIT);
    return std::string(chunk, size > 0 ? static_cast<std::size_t>(size) : 0);
}

} // namespace

TEST(client_connection, returns_complete_responses)
{
    EXPECT_EQ(exchange("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").m_response.m_body, "ok");
    // A response without a length ends with its connection.
    EXPECT_EQ(exchange("HTTP/1.1 200 OK\r\n\r\nall of it").m_response.m_body, "all of it");
    EXPECT_EQ(exchange("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
                  .m_response.m_status,
              200);
}

// Guards against a truncated response that is accepted as complete.
TEST(client_connection, reports_truncated_and_malformed_responses_as_incomplete)
{
    for (const char* response_bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", "HTTP/1.1 200 OK\r\nTransfer-Enc",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncut", "not http\r\n\r\n"})
        EXPECT_EQ(exchange(response_bytes).m_result, exchange_result::incomplete) << response_bytes;
    EXPECT_EQ(exchange("HTTP/1.1 200 OK\r\n\r\nreset on the way", true).m_result,
              exchange_result::incomplete);
}

// Guards against automatic retries by the HTTP library.
TEST(client_connection, never_retries_a_request)
{
    int requests = 0;
    EXPECT_EQ(exchange("", false, &requests).m_result, exchange_result::incomplete);
    EXPECT_EQ(requests, 1);
}

TEST(client_connection, reports_when_nothing_was_sent)
{
    asio::io_context io;
    const auto connection = std::make_shared<client_connection>(
        io, endpoint{"127.0.0.1", free_port(io)}, milliseconds(200));
    exchange_outcome result;
    connection->exchange({}, milliseconds(200), nullptr,
                         [&](const exchange_outcome& outcome) { result = outcome; });
    io.run_for(std::chrono::milliseconds(400));
    EXPECT_EQ(result.m_result, exchange_result::not_sent);
}

TEST(http_session, reads_lengths_chunks_and_pipelined_requests)
{
    EXPECT_NE(exchange_bytes("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
                  .find("POST/ahi"),
              std::string::npos);
    EXPECT_NE(exchange_bytes("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "2\r\nhi\r\n0\r\n\r\n")
                  .find("POST/bhi"),
              std::string::npos);
    const std::string both = exchange_bytes("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n"
                                            "Host: h\r\n\r\n");
    EXPECT_NE(both.find("GET/1"), std::string::npos);
    EXPECT_NE(both.find("GET/2"), std::string::npos);
    EXPECT_NE(exchange_bytes("POST /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                             "Content-Length: 2\r\n\r\nhi")
                  .find("100 Continue"),
              std::string::npos);
}

// Guards against request smuggling and against requests beyond the size limits.
TEST(http_session, rejects_malformed_and_oversized_requests)
{
    EXPECT_NE(exchange_bytes("nonsense\r\n\r\n").find(" 400 "), std::string::npos);
    EXPECT_NE(exchange_bytes(
                  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n")
                  .find(" 400 "),
              std::string::npos);
    EXPECT_NE(
        exchange_bytes("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4x\r\n\r\n").find(" 400 "),
        std::string::npos);
    routing::client_limits limits;
    limits.m_max_header_bytes = 200;
    limits.m_max_body_bytes = 10;
    EXPECT_NE(exchange_bytes("GET / HTTP/1.1\r\nX: " + std::string(400, 'x') + "\r\n\r\n", limits)
                  .find(" 431 "),
              std::string::npos);
    EXPECT_NE(exchange_bytes("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", limits).find(" 413 "),
              std::string::npos);
}

// Guards against callers that bind memory with a part of a request that has no end. A buffer of
// such a part is given up as soon as it is full.
TEST(http_session, rejects_chunk_extensions_and_trailers_without_end)
{
    const std::string chunked = "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(90'000, 'a');
    for (const std::string& start :
         {chunked + "1;a=", chunked + "1\r\nx\r\n0\r\nA: ", chunked + "1\r\nx\r\n0\r\nA: b\r\nB: "})
        EXPECT_EQ(exchange_bytes(start + filler).rfind("HTTP/1.1 431", 0), 0U) << start;
}

// Guards against an exception of a handler that reaches main and ends the process.
TEST(http_session, failed_handler_costs_only_its_request)
{
    const auto failing = [](http_session&, std::uint64_t, const http_request&) {
        throw std::runtime_error("not handled");
    };
    const std::string received = exchange_bytes("GET / HTTP/1.1\r\nHost: h\r\n\r\n", {}, failing);
    EXPECT_EQ(received.substr(0, 12), "HTTP/1.1 500");
}

// Guards against the end of the process by a response that the HTTP library refuses to write.
TEST(http_session, response_that_cannot_be_written_is_replaced)
{
    for (const http_response& response :
         {http_response{5000, {}, ""}, http_response{200, {{"X", std::string(70'000, 'x')}}, ""}}) {
        const auto respond = [&](http_session& session, std::uint64_t number, const http_request&) {
            session.respond(number, response);
        };
        const std::string received =
            exchange_bytes("GET / HTTP/1.1\r\nHost: h\r\n\r\n", {}, respond);
        EXPECT_EQ(received.substr(0, 12), "HTTP/1.1 502");
    }
}

// Guards against the end of the process by a header field that is longer than the HTTP library
// stores, where the configuration allows it.
TEST(http_session, header_field_that_cannot_be_stored_is_rejected)
{
    routing::client_limits limits;
    limits.m_max_header_bytes = 1'000'000;
    const std::string received = exchange_bytes(
        "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(70'000, 'x') + "\r\n\r\n", limits);
    EXPECT_EQ(received.substr(0, 12), "HTTP/1.1 431");
}

// Guards against a truncated response that its caller accepts as complete.
TEST(http_session, makes_truncated_responses_detectable)
{
    const std::string body(8 * 1024 * 1024, 'x');
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    std::string received;
    {
        asio::io_context outside;
        tcp::socket client(outside);
        {
            asio::io_context io;
            const std::uint16_t port = free_port(io);
            http_session::callbacks callbacks;
            callbacks.m_on_request = [&](const auto& session, std::uint64_t number,
                                         const http_request& /*request*/) {
                session->respond(number, {200, {}, body});
                return false;
            };
            callbacks.m_on_disconnect = [](const http_session&, std::uint64_t) {};
            callbacks.m_limits = [] { return routing::client_limits{}; };
            callbacks.m_is_draining = [] { return false; };
            http_listener listener(io, {"127.0.0.1", port}, callbacks);
            client.connect({asio::ip::make_address("127.0.0.1"), port});
            asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
            io.run_for(std::chrono::milliseconds(100));
        }
        // The node has stopped while it was sending the response.
        error_code error;
        asio::read(client, asio::dynamic_buffer(received), error);
    }
    const auto head_end = received.find("\r\n\r\n");
    ASSERT_NE(head_end, std::string::npos);
    EXPECT_NE(received.find(length), std::string::npos);
    EXPECT_LT(received.size() - head_end - 4, body.size());
}

namespace {

/// A listener that does not respond, and a connected client.
struct unanswered_session
{
    asio::io_context m_io;
    int m_requests = 0;
    int m_disconnects = 0;
    std::unique_ptr<http_listener> m_listener;
    tcp::socket m_client{m_io};

    explicit unanswered_session(bool drops_abandoned_requests = true)
    {
        const std::uint16_t port = free_port(m_io);
        http_session::callbacks callbacks;
        callbacks.m_on_request = [this](const auto&, std::uint64_t, const http_request&) {
            ++m_requests;
            return false;
        };
        callbacks.m_on_disconnect = [this](const http_session&, std::uint64_t) { ++m_disconnects; };
        callbacks.m_limits = [] { return routing::client_limits{}; };
        callbacks.m_is_draining = [] { return false; };
        callbacks.m_drops_abandoned_requests = drops_abandoned_requests;
        m_listener = std::make_unique<http_listener>(m_io, endpoint{"127.0.0.1", port}, callbacks);
        m_client.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void send(std::string_view bytes) { asio::write(m_client, asio::buffer(bytes)); }
    void run() { m_io.run_for(std::chrono::milliseconds(100)); }
};

constexpr std::string_view plain_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Guards against work that continues for a caller that has disconnected.
TEST(http_session, detects_a_caller_that_disconnects)
{
    unanswered_session session;
    session.send(plain_request);
    session.run();
    ASSERT_EQ(session.m_requests, 1);
    EXPECT_EQ(session.m_disconnects, 0);
    session.m_client.close();
    session.run();
    EXPECT_EQ(session.m_disconnects, 1);
}

// Guards against work that begins for a caller that disconnected before its request was read.
TEST(http_session, request_of_a_disconnected_caller_is_not_dispatched)
{
    unanswered_session session;
    session.send(plain_request);
    session.m_client.close();
    session.run();
    EXPECT_EQ(session.m_requests, 0);
}

// Guards against losing the announcement of a backend server that stopped waiting for the response.
TEST(http_session, request_of_a_disconnected_sender_is_dispatched_where_it_is_still_of_use)
{
    unanswered_session session(false);
    session.send(plain_request);
    session.m_client.close();
    session.run();
    EXPECT_EQ(session.m_requests, 1);
    EXPECT_EQ(session.m_disconnects, 1);
}

// Guards against a disconnect that remains undetected behind a pipelined request.
TEST(http_session, detects_a_caller_that_disconnects_after_a_pipelined_request)
{
    unanswered_session session;
    session.send(plain_request);
    session.run();
    session.send(plain_request);
    session.run();
    session.m_client.close();
    session.run();
    EXPECT_EQ(session.m_requests, 1);
    EXPECT_EQ(session.m_disconnects, 1);
}

} // namespace azureladder::sidecar_runtime
