#include <azureladder/base/manual_clock.hpp>
#include <azureladder/base/steady_clock.hpp>
#include <azureladder/http/client.hpp>
#include <azureladder/http/server.hpp>
#include <azureladder/store_double/store_service.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace azureladder::store_double {
namespace {

class store_double_test : public testing::Test
{
protected:
    http::response call(const std::string& method, const std::string& target,
                        const std::string& body = {})
    {
        return m_service.handle({method, target, {}, body, {}});
    }

    json counts() { return json::parse(call("GET", "/control/counts").m_body); }

    manual_clock m_clock;
    testbench::json_lines m_log{""};
    store_service m_service{m_clock, 1, m_log};
};

// Guards against a compare-and-swap that accepts a stale version, which would hide router faults.
TEST_F(store_double_test, compare_and_swap)
{
    EXPECT_EQ(call("GET", "/v1/kv/a/b").m_status, 404);
    EXPECT_EQ(call("PUT", "/v1/kv/a/b?version=0", "one").m_body, R"({"version":1})");
    const auto stale = call("PUT", "/v1/kv/a/b?version=0", "two");
    EXPECT_EQ(stale.m_status, 409);
    EXPECT_EQ(stale.m_body, R"({"version":1})");
    EXPECT_EQ(call("GET", "/v1/kv/a/b").m_body, R"({"value":"one","version":1})");
    EXPECT_EQ(call("PUT", "/v1/kv/a/b", "three").m_status, 400);
}

// Guards against a conditional read that transfers a known value, or hides a changed one.
TEST_F(store_double_test, conditional_read)
{
    call("PUT", "/v1/kv/k?version=0", "one");
    const auto read = [&](const std::string& tag) {
        return m_service.handle({"GET", "/v1/kv/k", {{"If-None-Match", tag}}, {}, {}});
    };
    EXPECT_EQ(*http::find_header(call("GET", "/v1/kv/k").m_headers, "ETag"), "\"1\"");
    EXPECT_EQ(read("\"1\"").m_status, 304);
    EXPECT_TRUE(read("\"1\"").m_body.empty());
    EXPECT_EQ(read("\"2\"").m_body, R"({"value":"one","version":1})");
    EXPECT_EQ(counts()["read_304"], 2);
}

// Guards against a value limit that differs from the platform's 1 MB.
TEST_F(store_double_test, value_limit)
{
    EXPECT_EQ(call("PUT", "/v1/kv/k?version=0", std::string(1'000'001, 'x')).m_status, 413);
    EXPECT_EQ(call("PUT", "/v1/kv/k?version=0", std::string(1'000'000, 'x')).m_status, 200);
}

// Guards against a watch that misses a write or never returns, and against double counting it.
TEST_F(store_double_test, watch_returns_the_next_version_and_counts_once)
{
    call("PUT", "/v1/kv/k?version=0", "one");
    http::response watched;
    std::thread watcher([&] { watched = call("GET", "/v1/kv/k?after=1&wait_ms=60000"); });
    call("PUT", "/v1/kv/k?version=1", "two");
    watcher.join();
    EXPECT_EQ(watched.m_body, R"({"value":"two","version":2})");
    EXPECT_EQ(call("GET", "/v1/kv/k?after=2&wait_ms=1").m_status, 204);
    EXPECT_EQ(counts()["watch"], 2);
    EXPECT_EQ(counts()["write"], 2);
}

// Guards against a lease that does not expire or that a renewal does not extend.
TEST_F(store_double_test, lease_expires_unless_renewed)
{
    EXPECT_EQ(call("POST", "/v1/leases", R"({"ttl_ms":100})").m_body, R"({"lease":"lease-1"})");
    m_clock.advance(milliseconds(99));
    EXPECT_EQ(call("PUT", "/v1/leases/lease-1").m_status, 200);
    m_clock.advance(milliseconds(99));
    EXPECT_EQ(call("PUT", "/v1/leases/lease-1").m_status, 200);
    m_clock.advance(milliseconds(100));
    EXPECT_EQ(call("PUT", "/v1/leases/lease-1").m_status, 404);
    EXPECT_EQ(call("DELETE", "/v1/leases/lease-1").m_status, 404);
    EXPECT_EQ(call("POST", "/v1/leases", R"({"ttl_ms":0})").m_status, 400);
}

// Guards against calls that take effect during an outage.
TEST_F(store_double_test, down_refuses_without_effect)
{
    call("POST", "/control", R"({"down":true})");
    EXPECT_EQ(call("PUT", "/v1/kv/k?version=0", "one").m_status, 503);
    call("POST", "/control", R"({"down":false})");
    EXPECT_EQ(call("GET", "/v1/kv/k").m_status, 404);
    EXPECT_EQ(counts()["write_503"], 1);
}

// Guards against a control call with a misspelt field that is accepted without effect.
TEST_F(store_double_test, control_refuses_unknown_fields)
{
    EXPECT_EQ(call("POST", "/control", R"({"dwon":true})").m_status, 400);
    EXPECT_EQ(call("POST", "/control", R"({"down":1})").m_status, 400);
    EXPECT_EQ(call("POST", "/control", R"({"delay_ms":-1})").m_status, 400);
}

// Guards against a rate limit that mixes reads and writes or never admits calls again.
TEST_F(store_double_test, rate_limits_reads_and_writes_separately)
{
    call("POST", "/control", R"({"max_writes_per_s":1})");
    EXPECT_EQ(call("PUT", "/v1/kv/k?version=0", "one").m_status, 200);
    EXPECT_EQ(call("PUT", "/v1/kv/k?version=1", "two").m_status, 429);
    EXPECT_EQ(call("GET", "/v1/kv/k").m_status, 200);
    m_clock.advance(seconds(1));
    EXPECT_EQ(call("PUT", "/v1/kv/k?version=1", "two").m_status, 200);
}

// Guards against a lost answer that reaches the caller or whose write has no effect.
TEST_F(store_double_test, lost_answer_closes_the_connection_after_the_write)
{
    http::server server({}, [this](const auto& message) { return m_service.handle(message); });
    ASSERT_TRUE(server.start());
    http::client client(server.bound_address());
    call("POST", "/control", R"({"lose_next_write_answers":1})");
    const auto lost = client.execute({"PUT", "/v1/kv/k?version=0", {}, "one", {}});
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.error().m_kind, http::client_error_kind::lost);
    EXPECT_EQ(client.execute({"GET", "/v1/kv/k", {}, {}, {}}).value().m_body,
              R"({"value":"one","version":1})");
}

} // namespace
} // namespace azureladder::store_double
