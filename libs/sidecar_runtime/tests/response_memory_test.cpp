#include "byte_budget.hpp"
#include "client_connection.hpp"
#include "http_listener.hpp"
#include "loopback_server.hpp"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <malloc.h>

#include <algorithm>

namespace azureladder::sidecar_runtime {

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

/// Limit of the responses of a process of 160 MB, and the heap that it may use for them.
constexpr std::size_t max_response_bytes = 24 * megabyte;
constexpr std::size_t max_heap_bytes = 40 * megabyte;

constexpr std::size_t exchange_count = 64;
constexpr std::size_t faulty_response_bytes = 16 * megabyte;

std::size_t used_heap_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Output of a server that sends `m_prefix`, then repeats `m_repeated`, and never ends the
/// response.
struct endless_response
{
    std::string m_name;
    std::string m_prefix;
    std::string m_repeated;
    std::size_t m_bytes = faulty_response_bytes;
};

std::string repeat_to_size(const std::string& text, std::size_t size)
{
    std::string block;
    while (block.size() < size)
        block += text;
    return block;
}

std::vector<endless_response> endless_responses()
{
    constexpr std::size_t block_bytes = 16 * 1024;
    const std::string filler(block_bytes, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        {"head", "HTTP/1.1 200 OK\r\n", repeat_to_size("A: b\r\n", block_bytes)},
        {"body_without_length", "HTTP/1.1 200 OK\r\n\r\n", filler},
        {"body_of_huge_length", "HTTP/1.1 200 OK\r\nContent-Length: 4000000000000\r\n\r\n", filler},
        {"body_that_stalls", "HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n", filler,
         3 * megabyte},
        {"chunks", chunked, "3e8\r\n" + std::string(1000, 'x') + "\r\n"},
        {"chunk_extensions", chunked, "1;a=" + std::string(8000, 'x') + "\r\nx\r\n"},
        {"trailers", chunked + "0\r\n", repeat_to_size("A: b\r\n", block_bytes)},
        {"interim_responses", "", repeat_to_size("HTTP/1.1 100 Continue\r\n\r\n", block_bytes)},
    };
}

http_request make_request()
{
    http_request request;
    request.m_headers = {{"Host", "h"}};
    return request;
}

} // namespace

class endless_responses_of_many_exchanges : public testing::TestWithParam<endless_response>
{
};

// Guards against responses without end of many exchanges that exhaust the memory of the process,
// and against ordinary responses that fail with them.
TEST_P(endless_responses_of_many_exchanges, stay_within_the_memory_limit)
{
    byte_budget budget(max_response_bytes);
    asio::io_context io;
    loopback_server faulty(io, [&](loopback_server::connection& connection, const auto&) {
        connection.send(GetParam().m_prefix);
        connection.send_repeatedly(GetParam().m_repeated, GetParam().m_bytes);
    });
    const std::string body(30'000, 'x');
    loopback_server healthy(io, [&](loopback_server::connection& connection, const auto&) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n" + body);
    });
    const std::size_t heap_before = used_heap_bytes();
    std::vector<std::shared_ptr<client_connection>> connections;
    std::size_t failed = 0;
    for (std::size_t i = 0; i < exchange_count; ++i) {
        connections.push_back(
            std::make_shared<client_connection>(io, faulty.address(), milliseconds(2000), &budget));
        connections.back()->exchange(make_request(), milliseconds(2000), nullptr,
                                     [&](const exchange_outcome& outcome) {
                                         EXPECT_EQ(outcome.m_result, exchange_result::incomplete);
                                         ++failed;
                                     });
    }
    const auto other =
        std::make_shared<client_connection>(io, healthy.address(), milliseconds(2000), &budget);
    std::size_t answered = 0;
    std::size_t failed_others = 0;
    std::function<void()> start_other = [&] {
        other->exchange(make_request(), milliseconds(4000), nullptr,
                        [&](const exchange_outcome& outcome) {
                            ++(outcome.m_response.m_body == body ? answered : failed_others);
                            asio::post(io, start_other);
                        });
    };
    start_other();
    std::size_t peak_heap = heap_before;
    std::size_t peak_reserved = 0;
    const auto started_at = std::chrono::steady_clock::now();
    while (failed < exchange_count && std::chrono::steady_clock::now() - started_at < seconds(8)) {
        io.run_one_for(milliseconds(100));
        peak_heap = std::max(peak_heap, used_heap_bytes());
        peak_reserved = std::max(peak_reserved, budget.used_bytes());
    }
    RecordProperty("peak_heap_kb", std::to_string((peak_heap - heap_before) / 1024));
    RecordProperty("peak_reserved_kb", std::to_string(peak_reserved / 1024));
    EXPECT_EQ(failed, exchange_count);
    EXPECT_LE(peak_reserved, max_response_bytes);
    EXPECT_LE(peak_heap - heap_before, max_heap_bytes);
    EXPECT_GT(answered, 0U);
    EXPECT_EQ(failed_others, 0U);
}

// Guards against request bodies without end of many callers that exhaust the memory of the process.
TEST(http_session, endless_request_bodies_stay_within_the_memory_limit)
{
    byte_budget budget(max_response_bytes);
    asio::io_context io;
    const std::uint16_t port =
        tcp::acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}).local_endpoint().port();
    http_session::callbacks callbacks;
    callbacks.m_on_request = [](const auto& session, std::uint64_t number, const http_request&) {
        session->respond(number, {200, {}, "ok"});
        return false;
    };
    callbacks.m_on_disconnect = [](const http_session&, std::uint64_t) {};
    callbacks.m_limits = [] { return routing::client_limits{}; };
    callbacks.m_is_draining = [] { return false; };
    callbacks.m_request_budget = &budget;
    http_listener listener(io, {"127.0.0.1", port}, callbacks);
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string block = repeat_to_size("3e8\r\n" + std::string(1000, 'x') + "\r\n", 16'000);
    std::vector<std::unique_ptr<tcp::socket>> callers;
    std::size_t closed = 0;
    const std::function<void(tcp::socket&)> send = [&](tcp::socket& caller) {
        asio::async_write(caller, asio::buffer(block), [&](error_code error, std::size_t) {
            if (error)
                ++closed;
            else
                send(caller);
        });
    };
    const std::size_t heap_before = used_heap_bytes();
    for (std::size_t i = 0; i < exchange_count; ++i) {
        callers.push_back(std::make_unique<tcp::socket>(io));
        callers.back()->connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(*callers.back(), asio::buffer(head));
        send(*callers.back());
    }
    std::size_t peak_heap = heap_before;
    const auto started_at = std::chrono::steady_clock::now();
    while (closed < exchange_count && peak_heap - heap_before <= max_heap_bytes &&
           std::chrono::steady_clock::now() - started_at < seconds(20)) {
        io.run_one_for(milliseconds(50));
        peak_heap = std::max(peak_heap, used_heap_bytes());
    }
    RecordProperty("peak_heap_kb", std::to_string((peak_heap - heap_before) / 1024));
    EXPECT_EQ(closed, exchange_count);
    EXPECT_LE(peak_heap - heap_before, max_heap_bytes);
}

// Guards against a stalled long response that makes the ordinary responses of other exchanges fail.
TEST(client_connection, long_response_fails_before_ordinary_ones)
{
    byte_budget budget(megabyte);
    asio::io_context io;
    const auto serve = [](const std::string& bytes) {
        return [bytes](loopback_server::connection& connection, const auto&) {
            connection.send(bytes);
        };
    };
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: ";
    loopback_server faulty(io, serve(head + "1000000\r\n\r\nx"));
    loopback_server healthy(io, serve(head + "30000\r\n\r\n" + std::string(30'000, 'x')));
    std::vector<exchange_outcome> outcomes;
    const auto start = [&](const endpoint& address) {
        std::make_shared<client_connection>(io, address, milliseconds(500), &budget)
            ->exchange(make_request(), milliseconds(2000), nullptr,
                       [&](const exchange_outcome& outcome) { outcomes.push_back(outcome); });
    };
    start(faulty.address());
    const auto run_until = [&](const std::function<bool()>& is_reached) {
        const auto started_at = std::chrono::steady_clock::now();
        while (!is_reached() && std::chrono::steady_clock::now() - started_at < seconds(1))
            io.run_one_for(milliseconds(100));
    };
    run_until([&] { return budget.used_bytes() >= 1'000'000; });
    ASSERT_GE(budget.used_bytes(), 1'000'000U);
    start(healthy.address());
    run_until([&] { return outcomes.size() == 2; });
    ASSERT_EQ(outcomes.size(), 2U);
    EXPECT_EQ(outcomes[0].m_result, exchange_result::incomplete);
    EXPECT_EQ(outcomes[0].m_cause, "responses exceed the memory limit");
    EXPECT_EQ(outcomes[1].m_result, exchange_result::answered);
    EXPECT_EQ(budget.used_bytes(), 0U);
}

INSTANTIATE_TEST_SUITE_P(client_connection, endless_responses_of_many_exchanges,
                         testing::ValuesIn(endless_responses()),
                         [](const auto& info) { return info.param.m_name; });

} // namespace azureladder::sidecar_runtime
