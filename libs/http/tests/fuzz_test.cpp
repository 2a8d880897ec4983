#include "raw_socket.hpp"

#include <azureladder/http/server.hpp>

#include <gtest/gtest.h>

#include <mutex>
#include <random>
#include <thread>

namespace azureladder::http {
namespace {

constexpr unsigned fuzz_seed = 20'261'204;
constexpr int fuzz_rounds = 400;

/// Returns a valid request with up to three bytes replaced, removed or duplicated.
std::string mutate(std::mt19937& random)
{
    std::string text = "POST /a/b%2Fc?d=e HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                       "X-Key: value\r\nTransfer-Encodin: chunked\r\n\r\nbody";
    constexpr std::string_view replacements("\r\n\0 :/%0149gG\xff\t", 15);
    const auto count = random() % 4;
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto at = random() % text.size();
        const auto kind = random() % 3;
        if (kind == 0)
            text[at] = replacements[random() % replacements.size()];
        else if (kind == 1)
            text.erase(at, 1);
        else
            text.insert(at, 1, text[at]);
    }
    return text;
}

// Guards against malformed requests that crash the server, reach the handler with a body of another
// length than declared, or block a server thread indefinitely.
TEST(http_server_fuzz, mutated_requests)
{
    std::mutex mutex;
    int calls = 0;
    server_options options;
    options.m_read_timeout = milliseconds(20);
    server target(options, [&](const request& message) {
        const std::lock_guard lock(mutex);
        ++calls;
        const auto* length = find_header(message.m_headers, "Content-Length");
        EXPECT_EQ(message.m_body.size(), length == nullptr ? 0U : std::stoull(*length));
        EXPECT_EQ(find_header(message.m_headers, "Transfer-Encoding"), nullptr);
        return response{200, {}, "done"};
    });
    ASSERT_TRUE(target.start());
    std::mt19937 random(fuzz_seed);
    for (int round = 0; round < fuzz_rounds; ++round) {
        const auto text = mutate(random);
        const auto split = random() % text.size();
        raw_socket socket(target.bound_address());
        socket.send(text.substr(0, split));
        if (random() % 2 == 0)
            std::this_thread::sleep_for(milliseconds(1));
        socket.send(text.substr(split));
        socket.shutdown_sending();
        socket.receive_all();
    }
    const std::lock_guard lock(mutex);
    EXPECT_GT(calls, fuzz_rounds / 4);
    EXPECT_LT(calls, fuzz_rounds);
}

} // namespace
} // namespace azureladder::http
