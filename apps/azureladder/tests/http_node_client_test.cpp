#include "http_node_client.hpp"

#include <azureladder/http/server.hpp>

#include <gtest/gtest.h>

namespace azureladder::cli {
namespace {

constexpr duration call_timeout = seconds(10);

// Guards against a call whose method, target, body or response is altered.
TEST(http_node_client, transfers_request_and_response)
{
    http::request received;
    http::server server({}, [&](const http::request& message) {
        received = message;
        return http::response{202, {}, "{\"apply_id\":\"a\"}"};
    });
    ASSERT_TRUE(server.start());
    const auto client = make_http_node_client(server.bound_address(), call_timeout);
    const auto answer = client->call("POST", "/a?key=%2F", "{}");
    ASSERT_TRUE(answer) << answer.error().m_message;
    EXPECT_EQ(answer.value().m_status, 202);
    EXPECT_EQ(answer.value().m_body, "{\"apply_id\":\"a\"}");
    EXPECT_EQ(received.m_method, "POST");
    EXPECT_EQ(received.m_target, "/a?key=%2F");
    EXPECT_EQ(received.m_body, "{}");
    EXPECT_TRUE(client->call("GET", "/b", ""));
    EXPECT_EQ(received.m_method, "GET");
}

// Guards against reporting a refused connection as a call with an unknown outcome.
TEST(http_node_client, refused_connection_sent_nothing)
{
    endpoint address;
    {
        http::server server({}, [](const http::request&) { return http::response{}; });
        ASSERT_TRUE(server.start());
        address = server.bound_address();
        server.stop();
    }
    const auto answer = make_http_node_client(address, call_timeout)->call("POST", "/", "{}");
    ASSERT_FALSE(answer);
    EXPECT_TRUE(answer.error().m_nothing_sent);
}

} // namespace
} // namespace azureladder::cli
