#include <azureladder/http/client.hpp>
#include <azureladder/http/server.hpp>

#include <gtest/gtest.h>

namespace azureladder::http {
namespace {

// Guards against a method, target, header or body that is changed between client and handler.
TEST(http_round_trip, handler_receives_the_request_as_sent)
{
    request received;
    server echo({}, [&received](const request& message) {
        received = message;
        return response{201, {{"Content-Type", "text/plain"}, {"X-Reply", "a b"}}, "pong"};
    });
    ASSERT_TRUE(echo.start());
    client caller(echo.bound_address());
    for (const auto* method : {"GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "PURGE"}) {
        const request sent{method,
                           "/a%2Fb/c%20d?q=1%202&z=+",
                           {{"X-Key", "v w"}},
                           method == std::string("GET") ? "" : "body",
                           {}};
        const auto reply = caller.execute(sent);
        ASSERT_TRUE(reply) << reply.error().m_message;
        EXPECT_EQ(reply.value().m_status, 201);
        EXPECT_EQ(reply.value().m_body, "pong");
        EXPECT_EQ(*find_header(reply.value().m_headers, "x-reply"), "a b");
        EXPECT_EQ(received.m_method, sent.m_method);
        EXPECT_EQ(received.m_target, sent.m_target);
        EXPECT_EQ(received.m_body, sent.m_body);
        EXPECT_EQ(*find_header(received.m_headers, "x-key"), "v w");
    }
}

} // namespace
} // namespace azureladder::http
