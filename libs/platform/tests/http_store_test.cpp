#include <azureladder/http/server.hpp>
#include <azureladder/platform/http_store.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>

namespace azureladder::platform {
namespace {

/// `http_store` with a server that returns a fixed response and records the last request.
class http_store_test : public testing::Test
{
protected:
    http::response handle(const http::request& message)
    {
        const std::lock_guard lock(m_mutex);
        ++m_calls;
        m_last_request = message;
        return m_response;
    }

    void set_response(int status, std::string body)
    {
        const std::lock_guard lock(m_mutex);
        m_response = {status, {}, std::move(body)};
    }

    store_error write_error(int status, std::string body)
    {
        set_response(status, std::move(body));
        const auto outcome = m_store.write("k", "v", 3);
        EXPECT_FALSE(outcome) << status;
        return outcome ? store_error() : outcome.error();
    }

    http::request last_request()
    {
        const std::lock_guard lock(m_mutex);
        return m_last_request;
    }

    std::mutex m_mutex;
    std::atomic<int> m_calls{0};
    http::request m_last_request;
    http::response m_response;
    http::server m_server{{}, [this](const auto& message) { return handle(message); }};
    bool m_started = m_server.start();
    http_store m_store{{m_server.bound_address(), seconds(20), seconds(20), 4}};
};

// Guards against calls that differ from the platform's interface.
TEST_F(http_store_test, calls_match_the_platform_interface)
{
    set_response(200, R"({"version":4})");
    EXPECT_EQ(m_store.write("slices/a b/1", "text", 3).value(), 4U);
    EXPECT_EQ(last_request().m_method, "PUT");
    EXPECT_EQ(last_request().m_target, "/v1/kv/slices/a%20b/1?version=3");
    EXPECT_EQ(last_request().m_body, "text");
    set_response(200, R"({"value":"te\"xt","version":4})");
    const auto read = m_store.read("config").value();
    EXPECT_EQ(last_request().m_method, "GET");
    EXPECT_EQ(last_request().m_target, "/v1/kv/config");
    EXPECT_EQ(read->m_value, "te\"xt");
    EXPECT_EQ(read->m_version, 4U);
    set_response(404, "{}");
    EXPECT_FALSE(m_store.read("config").value());
}

// Guards against a poll that transfers an unchanged value, and against a value that is dropped
// because the store ignores the condition.
TEST_F(http_store_test, conditional_read_names_the_known_version)
{
    set_response(304, "");
    EXPECT_TRUE(m_store.read_if_changed("k", 4).value().m_unchanged);
    EXPECT_EQ(*http::find_header(last_request().m_headers, "If-None-Match"), "\"4\"");
    EXPECT_FALSE(m_store.read("k"));
    EXPECT_EQ(http::find_header(last_request().m_headers, "If-None-Match"), nullptr);
    set_response(200, R"({"value":"v","version":4})");
    EXPECT_EQ(m_store.read_if_changed("k", 4).value().m_value->m_value, "v");
    set_response(404, "{}");
    EXPECT_FALSE(m_store.read_if_changed("k", 4).value().m_value);
}

// Guards against reporting a write with an unknown outcome as one without effect, or the reverse.
TEST_F(http_store_test, write_errors)
{
    const auto conflict = write_error(409, R"({"version":7})");
    EXPECT_EQ(conflict.m_kind, store_error_kind::conflict);
    EXPECT_EQ(conflict.m_current_version, 7U);
    EXPECT_EQ(write_error(413, "").m_kind, store_error_kind::too_large);
    EXPECT_EQ(write_error(503, "").m_kind, store_error_kind::unavailable);
    EXPECT_EQ(write_error(429, "").m_kind, store_error_kind::unavailable);
    EXPECT_EQ(write_error(500, "").m_kind, store_error_kind::unknown);
    EXPECT_EQ(write_error(200, "{").m_kind, store_error_kind::unknown);
    EXPECT_EQ(write_error(409, "[]").m_kind, store_error_kind::unknown);
}

// Guards against a write that is sent again after its response was lost.
TEST_F(http_store_test, lost_response_of_a_write_is_unknown_and_not_retried)
{
    EXPECT_EQ(write_error(http::close_without_response, "").m_kind, store_error_kind::unknown);
    EXPECT_EQ(m_calls, 1);
}

// Guards against reporting a missing key when the store returned no usable response.
TEST_F(http_store_test, failed_reads_are_unavailable)
{
    for (const int status : {503, 500, 200, http::close_without_response}) {
        set_response(status, "{}");
        const auto outcome = m_store.read("k");
        ASSERT_FALSE(outcome) << status;
        EXPECT_EQ(outcome.error().m_kind, store_error_kind::unavailable) << status;
    }
}

// Guards against reporting a refused connection as a write with an unknown outcome.
TEST_F(http_store_test, refused_connection_is_unavailable)
{
    m_server.stop();
    EXPECT_EQ(m_store.write("k", "v", 0).error().m_kind, store_error_kind::unavailable);
    EXPECT_EQ(m_store.read("k").error().m_kind, store_error_kind::unavailable);
}

} // namespace
} // namespace azureladder::platform
