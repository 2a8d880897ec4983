#include "client_connection.hpp"
#include "loopback_server.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace azureladder::sidecar_runtime {

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

/// Bytes that a faulty server writes unless it is stopped before.
constexpr std::size_t endless_bytes = 64 * megabyte;

/// What a node of 160 MB can bear of one server, with the bytes that wait in the sockets.
constexpr std::size_t bearable_bytes = 16 * megabyte;

const char* const sound_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

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
    std::chrono::steady_clock::time_point m_ended;
};

void begin_exchange(client_connection& connection, exchange_record& record, milliseconds timeout,
                    client_connection::response_filter accept = nullptr)
{
    connection.exchange(make_request(), timeout, std::move(accept),
                        [&record](const exchange_outcome& outcome) {
                            record.m_outcome = outcome;
                            record.m_ended = std::chrono::steady_clock::now();
                        });
}

/// A server that writes `m_first` and then `m_block` without end.
struct endless_case
{
    std::string m_name;
    std::string m_first;
    std::string m_block;
};

std::string repeated(const std::string& text, std::size_t size)
{
    std::string block;
    while (block.size() < size)
        block += text;
    return block;
}

std::vector<endless_case> endless_cases()
{
    const std::string noise(64 * 1024, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        {"no_head", "", noise},
        {"status_line", "HTTP/1.1 200 ", noise},
        {"one_header", "HTTP/1.1 200 OK\r\nA: ", noise},
        {"headers", "HTTP/1.1 200 OK\r\n", repeated("A: b\r\n", 64 * 1024)},
        {"body_without_length", "HTTP/1.1 200 OK\r\n\r\n", noise},
        {"body_of_absurd_length", "HTTP/1.1 200 OK\r\nContent-Length: 4000000000000000000\r\n\r\n",
         noise},
        {"one_chunk", chunked + "7fffffffffffffff\r\n", noise},
        {"chunks", chunked, repeated("1\r\nx\r\n", 64 * 1024)},
        {"chunk_size", chunked, std::string(64 * 1024, '0')},
        {"chunk_extension", chunked + "1;a=", noise},
        {"chunks_with_extensions", chunked, "1;a=" + std::string(60 * 1024, 'x') + "\r\nx\r\n"},
        {"trailers", chunked + "0\r\n", repeated("A: b\r\n", 64 * 1024)},
        {"interim_heads", "", repeated("HTTP/1.1 100 Continue\r\n\r\n", 64 * 1024)},
        {"answers_to_other_requests", "",
         repeated("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nabc", 64 * 1024)},
    };
}

} // namespace

class endless_server : public testing::TestWithParam<endless_case>
{
protected:
    asio::io_context m_io;
    exchange_record m_record;

    void run_until_ended()
    {
        const auto begun = std::chrono::steady_clock::now();
        while (!m_record.m_outcome && std::chrono::steady_clock::now() - begun < seconds(3))
            m_io.run_one_for(milliseconds(100));
    }
};

// Guards against a server whose bytes without end take the node's memory, or all its time.
TEST_P(endless_server, is_cut_off_after_a_bounded_number_of_bytes)
{
    loopback_server faulty(m_io, [&](loopback_server::connection& connection, const auto&) {
        connection.send(GetParam().m_first);
        connection.send_repeatedly(GetParam().m_block, endless_bytes);
    });
    loopback_server sound(m_io, [&](loopback_server::connection& connection, const auto&) {
        connection.send(sound_answer);
    });
    const auto connection =
        std::make_shared<client_connection>(m_io, faulty.address(), milliseconds(500));
    const auto other =
        std::make_shared<client_connection>(m_io, sound.address(), milliseconds(500));
    exchange_record other_record;
    begin_exchange(*connection, m_record, milliseconds(4000), [](const http_response& response) {
        return response.m_headers.empty() || response.m_headers.front().m_value != "other";
    });
    begin_exchange(*other, other_record, milliseconds(4000));
    run_until_ended();
    m_io.run_for(milliseconds(50));
    EXPECT_LT(faulty.connections().front()->bytes_sent(), bearable_bytes);
    ASSERT_TRUE(m_record.m_outcome);
    EXPECT_EQ(m_record.m_outcome->m_result, exchange_result::incomplete);
    EXPECT_FALSE(connection->is_reusable());
    EXPECT_FALSE(faulty.connections().front()->is_open());
    ASSERT_TRUE(other_record.m_outcome);
    EXPECT_EQ(other_record.m_outcome->m_response.m_body, "ok");
}

// Guards against a server that keeps an exchange open with a byte now and then.
TEST_P(endless_server, is_cut_off_at_the_time_limit)
{
    loopback_server faulty(m_io, [&](loopback_server::connection& connection, const auto&) {
        connection.send(GetParam().m_first);
        connection.send_repeatedly(GetParam().m_block.substr(0, 1), endless_bytes, milliseconds(2));
    });
    const auto connection =
        std::make_shared<client_connection>(m_io, faulty.address(), milliseconds(500));
    const auto begun = std::chrono::steady_clock::now();
    begin_exchange(*connection, m_record, milliseconds(150));
    run_until_ended();
    ASSERT_TRUE(m_record.m_outcome);
    EXPECT_EQ(m_record.m_outcome->m_result, exchange_result::incomplete);
    EXPECT_LT(m_record.m_ended - begun, seconds(1));
}

// Guards against a bound that cuts off a page of the store.
TEST(client_connection, reads_long_answers)
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
        begin_exchange(*connection, record, milliseconds(2000));
        while (!record.m_outcome)
            io.run_one_for(milliseconds(100));
        EXPECT_EQ(record.m_outcome->m_response.m_body, body);
        EXPECT_TRUE(connection->is_reusable());
    }
}

// Guards against a request that is lost on a connection that its server has closed, and against
// unasked bytes that are taken for the next answer, also of the store, whose answers bear no id.
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
        begin_exchange(*connection, first, milliseconds(500));
        while (!first.m_outcome)
            io.run_one_for(milliseconds(100));
        ASSERT_TRUE(connection->is_reusable());
        if (is_closed)
            server.connections().front()->close();
        else
            server.connections().front()->send(sound_answer);
        exchange_record second;
        begin_exchange(*connection, second, milliseconds(500));
        while (!second.m_outcome)
            io.run_one_for(milliseconds(100));
        EXPECT_EQ(second.m_outcome->m_result, exchange_result::answered);
        EXPECT_EQ(second.m_outcome->m_response.m_body, "2");
    }
}

// Guards against a request that is called unsent, and sent to a second server, while it was being
// written when its connection broke.
TEST(client_connection, calls_a_partly_written_request_sent)
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

/// Exchange with a server that sends `bytes` and ends the connection.
exchange_result result_of(const std::string& bytes, bool is_reset)
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
    begin_exchange(*connection, record, milliseconds(2000));
    while (!record.m_outcome)
        io.run_one_for(milliseconds(100));
    return record.m_outcome->m_result;
}

} // namespace

// Guards against an answer that ends early and is framed as whole.
TEST(client_connection, takes_no_answer_that_is_cut_at_any_byte)
{
    const std::string start = "HTTP/1.1 200 OK\r\nAzureladder-Response-Seal: s\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (const std::string& whole :
         {start + "Content-Length: 4\r\n\r\nbody",
          start + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nT: u\r\n\r\n",
          interim + start + "Content-Length: 0\r\n\r\n"}) {
        EXPECT_EQ(result_of(whole, false), exchange_result::answered);
        for (std::size_t size = 0; size < whole.size(); ++size)
            for (const bool is_reset : {false, true})
                EXPECT_EQ(result_of(whole.substr(0, size), is_reset), exchange_result::incomplete)
                    << whole.substr(0, size);
    }
    // Without a length the head must be whole, and only a clean close ends the body.
    const std::string unframed = start + "\r\nbody";
    for (std::size_t size = 0; size <= unframed.size(); ++size) {
        EXPECT_EQ(result_of(unframed.substr(0, size), true), exchange_result::incomplete);
        if (size < start.size() + 2) {
            EXPECT_EQ(result_of(unframed.substr(0, size), false), exchange_result::incomplete);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(client_connection, endless_server, testing::ValuesIn(endless_cases()),
                         [](const auto& info) { return info.param.m_name; });

} // namespace azureladder::sidecar_runtime
