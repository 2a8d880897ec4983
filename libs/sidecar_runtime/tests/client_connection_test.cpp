#include "client_connection.hpp"
#include "loopback_server.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace azureladder::sidecar_runtime {

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

/// Bytes that a faulty server writes unless its connection is closed earlier.
constexpr std::size_t faulty_response_bytes = 64 * megabyte;

/// Bytes that one server may send before it is cut off, socket buffers included, on a VM of 160 MB.
constexpr std::size_t max_accepted_bytes = 16 * megabyte;

const char* const valid_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

http_request make_request()
{
    http_request request;
    request.m_method = "GET";
    request.m_target = "/";
    request.m_headers = {{"Host", "h"}};
    return request;
}

struct exchange_record
{
    std::optional<exchange_outcome> m_outcome;
    std::chrono::steady_clock::time_point m_ended_at;
};

void start_exchange(client_connection& connection, exchange_record& record, milliseconds timeout,
                    client_connection::response_filter accept = nullptr)
{
    connection.exchange(make_request(), timeout, std::move(accept),
                        [&record](const exchange_outcome& outcome) {
                            record.m_outcome = outcome;
                            record.m_ended_at = std::chrono::steady_clock::now();
                        });
}

/// Output of a server that sends `m_prefix` and then repeats `m_repeated` without end.
struct unbounded_response_case
{
    std::string m_name;
    std::string m_prefix;
    std::string m_repeated;
};

std::string repeat_to_size(const std::string& text, std::size_t size)
{
    std::string block;
    while (block.size() < size)
        block += text;
    return block;
}

std::vector<unbounded_response_case> unbounded_response_cases()
{
    const std::string filler(64 * 1024, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        {"no_head", "", filler},
        {"status_line", "HTTP/1.1 200 ", filler},
        {"one_header", "HTTP/1.1 200 OK\r\nA: ", filler},
        {"headers", "HTTP/1.1 200 OK\r\n", repeat_to_size("A: b\r\n", 64 * 1024)},
        {"body_without_length", "HTTP/1.1 200 OK\r\n\r\n", filler},
        {"body_of_absurd_length", "HTTP/1.1 200 OK\r\nContent-Length: 4000000000000000000\r\n\r\n",
         filler},
        {"one_chunk", chunked + "7fffffffffffffff\r\n", filler},
        {"chunks", chunked, repeat_to_size("1\r\nx\r\n", 64 * 1024)},
        {"chunk_size", chunked, std::string(64 * 1024, '0')},
        {"chunk_extension", chunked + "1;a=", filler},
        {"chunks_with_extensions", chunked, "1;a=" + std::string(60 * 1024, 'x') + "\r\nx\r\n"},
        {"trailers", chunked + "0\r\n", repeat_to_size("A: b\r\n", 64 * 1024)},
        {"interim_heads", "", repeat_to_size("HTTP/1.1 100 Continue\r\n\r\n", 64 * 1024)},
        {"answers_to_other_requests", "",
         repeat_to_size("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nabc", 64 * 1024)},
    };
}

} // namespace

class unbounded_response : public testing::TestWithParam<unbounded_response_case>
{
protected:
    asio::io_context m_io;
    exchange_record m_record;

    void run_until_completed()
    {
        const auto started_at = std::chrono::steady_clock::now();
        while (!m_record.m_outcome && std::chrono::steady_clock::now() - started_at < seconds(3))
            m_io.run_one_for(milliseconds(100));
    }
};

// Guards against a server whose unlimited output exhausts the node's memory or its event loop.
TEST_P(unbounded_response, is_aborted_at_the_size_limit)
{
    loopback_server faulty(m_io, [&](loopback_server::connection& connection, const auto&) {
        connection.send(GetParam().m_prefix);
        connection.send_repeatedly(GetParam().m_repeated, faulty_response_bytes);
    });
    loopback_server healthy(m_io, [&](loopback_server::connection& connection, const auto&) {
        connection.send(valid_response);
    });
    const auto connection =
        std::make_shared<client_connection>(m_io, faulty.address(), milliseconds(500));
    const auto other =
        std::make_shared<client_connection>(m_io, healthy.address(), milliseconds(500));
    exchange_record other_record;
    start_exchange(*connection, m_record, milliseconds(4000), [](const http_response& response) {
        return response.m_headers.empty() || response.m_headers.front().m_value != "other";
    });
    start_exchange(*other, other_record, milliseconds(4000));
    run_until_completed();
    m_io.run_for(milliseconds(50));
    EXPECT_LT(faulty.connections().front()->bytes_sent(), max_accepted_bytes);
    ASSERT_TRUE(m_record.m_outcome);
    EXPECT_EQ(m_record.m_outcome->m_result, exchange_result::incomplete);
    EXPECT_FALSE(connection->is_reusable());
    EXPECT_FALSE(faulty.connections().front()->is_open());
    ASSERT_TRUE(other_record.m_outcome);
    EXPECT_EQ(other_record.m_outcome->m_response.m_body, "ok");
}

// Guards against a server that keeps an exchange open by sending single bytes.
TEST_P(unbounded_response, is_aborted_at_the_timeout)
{
    loopback_server faulty(m_io, [&](loopback_server::connection& connection, const auto&) {
        connection.send(GetParam().m_prefix);
        connection.send_repeatedly(GetParam().m_repeated.substr(0, 1), faulty_response_bytes,
                                   milliseconds(2));
    });
    const auto connection =
        std::make_shared<client_connection>(m_io, faulty.address(), milliseconds(500));
    const auto started_at = std::chrono::steady_clock::now();
    start_exchange(*connection, m_record, milliseconds(150));
    run_until_completed();
    ASSERT_TRUE(m_record.m_outcome);
    EXPECT_EQ(m_record.m_outcome->m_result, exchange_result::incomplete);
    EXPECT_LT(m_record.m_ended_at - started_at, seconds(1));
}

// Guards against a size limit that is smaller than a page of the store.
TEST(client_connection, reads_long_responses)
{
    const std::string body(3 * megabyte, 'x');
    for (const std::string& head :
         {"Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
          "Transfer-Encoding: chunked\r\n\r\n300000\r\n" + body + "\r\n0\r\n\r\n"}) {
        asio::io_context io;
        loopback_server server(io, [&](loopback_server::connection& connection, const auto&) {
            connection.send_repeatedly("HTTP/1.1 200 OK\r\n" + head, 1);
        });
        const auto connection =
            std::make_shared<client_connection>(io, server.address(), milliseconds(500));
        exchange_record record;
        start_exchange(*connection, record, milliseconds(2000));
        while (!record.m_outcome)
            io.run_one_for(milliseconds(100));
        EXPECT_EQ(record.m_outcome->m_response.m_body, body);
        EXPECT_TRUE(connection->is_reusable());
    }
}

// Guards against a request that is lost on a connection which its server has closed, and against
// unsolicited bytes that are read as the next response. Responses of the store carry no request id.
TEST(client_connection, replaces_an_idle_connection_that_is_closed_or_readable)
{
    for (const bool is_closed : {true, false}) {
        asio::io_context io;
        int requests = 0;
        loopback_server server(io, [&](loopback_server::connection& connection, const auto&) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
                            std::to_string(++requests));
        });
        const auto connection =
            std::make_shared<client_connection>(io, server.address(), milliseconds(500));
        exchange_record first;
        start_exchange(*connection, first, milliseconds(500));
        while (!first.m_outcome)
            io.run_one_for(milliseconds(100));
        ASSERT_TRUE(connection->is_reusable());
        if (is_closed)
            server.connections().front()->close();
        else
            server.connections().front()->send(valid_response);
        exchange_record second;
        start_exchange(*connection, second, milliseconds(500));
        while (!second.m_outcome)
            io.run_one_for(milliseconds(100));
        EXPECT_EQ(second.m_outcome->m_result, exchange_result::answered);
        EXPECT_EQ(second.m_outcome->m_response.m_body, "2");
    }
}

// Guards against a request that is reported as not sent, and then sent to a second server, although
// its connection broke during the write.
TEST(client_connection, reports_a_partly_written_request_as_sent)
{
    for (const bool is_reset : {true, false}) {
        asio::io_context io;
        loopback_server server(io, [&](loopback_server::connection& connection, const auto&) {
            if (is_reset)
                connection.reset();
            else
                connection.send("no answer\r\n\r\n");
        });
        const auto connection =
            std::make_shared<client_connection>(io, server.address(), milliseconds(500));
        http_request request = make_request();
        request.m_body = std::string(32 * megabyte, 'x');
        std::optional<exchange_outcome> result;
        connection->exchange(request, milliseconds(2000), nullptr,
                             [&](const exchange_outcome& outcome) { result = outcome; });
        while (!result)
            io.run_one_for(milliseconds(100));
        EXPECT_EQ(result->m_result, exchange_result::incomplete) << result->m_cause;
    }
}

namespace {

/// Exchange with a server that sends `bytes` and then closes or resets the connection.
exchange_result exchange_result_of(const std::string& bytes, bool is_reset)
{
    asio::io_context io;
    loopback_server server(io, [&](loopback_server::connection& connection, const auto&) {
        connection.send(bytes);
        if (is_reset)
            connection.reset();
        else
            connection.close();
    });
    const auto connection =
        std::make_shared<client_connection>(io, server.address(), milliseconds(500));
    exchange_record record;
    start_exchange(*connection, record, milliseconds(2000));
    while (!record.m_outcome)
        io.run_one_for(milliseconds(100));
    return record.m_outcome->m_result;
}

} // namespace

// Guards against a truncated response that is accepted as complete.
TEST(client_connection, rejects_responses_truncated_at_any_byte)
{
    const std::string start = "HTTP/1.1 200 OK\r\nAzureladder-Response-Seal: s\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (const std::string& complete :
         {start + "Content-Length: 4\r\n\r\nbody",
          start + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nT: u\r\n\r\n",
          interim + start + "Content-Length: 0\r\n\r\n"}) {
        EXPECT_EQ(exchange_result_of(complete, false), exchange_result::answered);
        for (std::size_t size = 0; size < complete.size(); ++size)
            for (const bool is_reset : {false, true})
                EXPECT_EQ(exchange_result_of(complete.substr(0, size), is_reset),
                          exchange_result::incomplete)
                    << complete.substr(0, size);
    }
    // Without a length, the header section must be complete and an orderly close ends the body.
    const std::string unframed = start + "\r\nbody";
    for (std::size_t size = 0; size <= unframed.size(); ++size) {
        EXPECT_EQ(exchange_result_of(unframed.substr(0, size), true), exchange_result::incomplete);
        if (size < start.size() + 2) {
            EXPECT_EQ(exchange_result_of(unframed.substr(0, size), false),
                      exchange_result::incomplete);
        }
    }
}

namespace {

/// Outcome of an upload that exceeds the socket buffers. The server runs `respond` with a response
/// without length while the upload is being written.
exchange_outcome
outcome_of_unread_upload(const std::function<void(loopback_server::connection&)>& respond)
{
    asio::io_context io;
    asio::steady_timer pause(io);
    // Reads no byte of the upload.
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    std::shared_ptr<loopback_server::connection> server;
    acceptor.async_accept([&](error_code, tcp::socket socket) {
        server = std::make_shared<loopback_server::connection>(std::move(socket));
        pause.expires_after(milliseconds(20));
        pause.async_wait([&](error_code) { respond(*server); });
    });
    const auto connection = std::make_shared<client_connection>(
        io, endpoint{"127.0.0.1", acceptor.local_endpoint().port()}, milliseconds(500));
    http_request request = make_request();
    request.m_body = std::string(32 * megabyte, 'x');
    std::optional<exchange_outcome> result;
    connection->exchange(request, milliseconds(2000), nullptr,
                         [&](const exchange_outcome& outcome) { result = outcome; });
    while (!result)
        io.run_one_for(milliseconds(100));
    EXPECT_FALSE(connection->is_reusable());
    return *result;
}

} // namespace

// Guards against a truncated body that is accepted as complete: a reset is reported to the pending
// write, and the next read ends like that of an orderly close.
TEST(client_connection, reset_during_an_upload_ends_no_body_without_length)
{
    const std::string complete = "HTTP/1.1 200 OK\r\nAzureladder-Response-Seal: s\r\n\r\nbody";
    for (std::size_t size = 0; size <= complete.size(); ++size) {
        SCOPED_TRACE(size);
        const auto outcome = outcome_of_unread_upload([&](loopback_server::connection& server) {
            server.send(complete.substr(0, size));
            server.reset();
        });
        EXPECT_EQ(outcome.m_result, exchange_result::incomplete);
    }
}

namespace {

/// Outcome of an upload to a server that has sent `response` and reads the upload, and resets the
/// connection after `handlers` handlers of the event loop.
exchange_outcome outcome_of_reset_after(int handlers, const std::string& response)
{
    asio::io_context server_io;
    tcp::acceptor acceptor(server_io, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket server(server_io);
    asio::io_context io;
    const auto connection = std::make_shared<client_connection>(
        io, endpoint{"127.0.0.1", acceptor.local_endpoint().port()}, milliseconds(500));
    http_request request = make_request();
    request.m_body = std::string(32 * megabyte, 'x');
    std::optional<exchange_outcome> result;
    connection->exchange(request, milliseconds(2000), nullptr,
                         [&](const exchange_outcome& outcome) { result = outcome; });
    acceptor.accept(server);
    server.non_blocking(true);
    asio::write(server, asio::buffer(response));
    std::vector<char> upload(megabyte);
    for (int step = 0; !result; ++step) {
        error_code error;
        while (step < handlers && !error)
            server.read_some(asio::buffer(upload), error);
        if (step == handlers) {
            server.set_option(asio::socket_base::linger(true, 0));
            server.close();
        }
        if (io.poll_one() == 0 && step > handlers)
            io.run_one_for(milliseconds(100));
    }
    return *result;
}

} // namespace

// Guards against a truncated body that is accepted because the end of the input is handled before
// the failure of the write.
TEST(client_connection, reset_during_an_upload_ends_no_body_in_any_order_of_events)
{
    for (const std::string response : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nbody"}) {
        for (int handlers = 0; handlers < 40; ++handlers)
            EXPECT_NE(outcome_of_reset_after(handlers, response).m_result,
                      exchange_result::answered)
                << handlers;
    }
}

// Guards against the rejection of a whole body because its server does not read the upload: the end
// of the body arrives before the reset.
TEST(client_connection, orderly_end_during_an_upload_ends_a_body_without_length)
{
    for (const bool is_closed : {false, true}) {
        SCOPED_TRACE(is_closed);
        const auto outcome = outcome_of_unread_upload([&](loopback_server::connection& server) {
            server.send("HTTP/1.1 200 OK\r\n\r\nbody");
            server.shutdown_sending();
            if (is_closed)
                server.close();
        });
        EXPECT_EQ(outcome.m_result, exchange_result::answered) << outcome.m_cause;
        EXPECT_EQ(outcome.m_response.m_body, "body");
    }
}

// Guards against a field whose name begins with a blank: its line was joined to the value of the
// field before, and a length in it was ignored.
TEST(client_connection, rejects_lines_that_continue_a_field_in_any_segments)
{
    const std::string start = "HTTP/1.1 200 OK\r\nA: b\r\n";
    for (const std::string& response :
         {start + " Content-Length: 2\r\n\r\nok",
          start + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: u\r\n X: 1\r\n\r\n"}) {
        for (std::size_t size = 1; size <= response.size(); ++size) {
            SCOPED_TRACE(response.substr(0, size));
            asio::io_context io;
            asio::steady_timer pause(io);
            loopback_server server(io, [&](loopback_server::connection& connection, const auto&) {
                connection.send(response.substr(0, size));
                pause.expires_after(milliseconds(2));
                pause.async_wait([&](error_code) {
                    connection.send(response.substr(size));
                    connection.close();
                });
            });
            const auto connection =
                std::make_shared<client_connection>(io, server.address(), milliseconds(500));
            exchange_record record;
            start_exchange(*connection, record, milliseconds(2000));
            while (!record.m_outcome)
                io.run_one_for(milliseconds(100));
            EXPECT_EQ(record.m_outcome->m_result, exchange_result::incomplete);
        }
    }
    // Chunks may hold such lines.
    EXPECT_EQ(exchange_result_of(
                  start + "Transfer-Encoding: chunked\r\n\r\n6\r\no\r\n k \r\n0\r\n\r\n", false),
              exchange_result::answered);
}

// Guards against a response to HEAD that is read like one with a body: it would wait for a body, or
// count as complete before the end of its head.
TEST(client_connection, response_to_head_ends_with_its_head)
{
    const std::string start = "HTTP/1.1 200 OK\r\nA: b\r\n";
    for (const std::string& response :
         {start + "\r\n", start + "Content-Length: 4\r\n\r\n",
          start + "Transfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\n" + start + "Content-Length: 4\r\n\r\n"}) {
        for (std::size_t size = 0; size <= response.size(); ++size) {
            SCOPED_TRACE(response.substr(0, size));
            asio::io_context io;
            loopback_server server(io, [&](loopback_server::connection& connection, const auto&) {
                connection.send(response.substr(0, size));
                connection.reset();
            });
            const auto connection =
                std::make_shared<client_connection>(io, server.address(), milliseconds(500));
            http_request request = make_request();
            request.m_method = "HEAD";
            std::optional<exchange_outcome> result;
            connection->exchange(request, milliseconds(2000), nullptr,
                                 [&](const exchange_outcome& outcome) { result = outcome; });
            while (!result)
                io.run_one_for(milliseconds(100));
            EXPECT_EQ(result->m_result, size == response.size() ? exchange_result::answered
                                                                : exchange_result::incomplete);
            EXPECT_EQ(result->m_response.m_body, "");
        }
    }
}

// Guards against a body that is passed on in a transfer coding whose header is not.
TEST(client_connection, rejects_transfer_codings_other_than_chunked)
{
    const auto result_with = [](const std::string& codings) {
        return exchange_result_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codings +
                                      "\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                                  false);
    };
    EXPECT_EQ(result_with("Chunked"), exchange_result::answered);
    for (const char* codings :
         {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity", "",
          "gzip\r\nTransfer-Encoding: chunked", "gzip\r\nContent-Length: 4"})
        EXPECT_EQ(result_with(codings), exchange_result::incomplete) << codings;
}

INSTANTIATE_TEST_SUITE_P(client_connection, unbounded_response,
                         testing::ValuesIn(unbounded_response_cases()),
                         [](const auto& info) { return info.param.m_name; });

// Guards against taking a server that closes connections or breaks off its responses for a full
// one, which resets connections before it responds.
TEST(client_connection, tells_a_reset_before_the_response_from_other_failures)
{
    const auto is_reset = [](const std::string& output, bool resets) {
        asio::io_context io;
        loopback_server server(io, [&](loopback_server::connection& connection, const auto&) {
            connection.send(output);
            if (resets)
                connection.reset();
            else
                connection.close();
        });
        const auto connection =
            std::make_shared<client_connection>(io, server.address(), milliseconds(500));
        exchange_record record;
        start_exchange(*connection, record, milliseconds(4000));
        for (int i = 0; i < 50 && !record.m_outcome; ++i)
            io.run_one_for(milliseconds(100));
        EXPECT_TRUE(record.m_outcome);
        return record.m_outcome && record.m_outcome->m_is_reset;
    };
    EXPECT_TRUE(is_reset("", true));
    EXPECT_FALSE(is_reset("", false));
    EXPECT_FALSE(is_reset("HTTP/1.1 200 OK\r\n", false));
}

} // namespace azureladder::sidecar_runtime
