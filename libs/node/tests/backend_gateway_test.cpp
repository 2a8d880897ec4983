#include "backend_gateway.hpp"

#include <azureladder/base/json.hpp>
#include <azureladder/base/steady_clock.hpp>
#include <azureladder/http/server.hpp>

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <vector>

namespace azureladder::node {
namespace {

/// A backend server that records its requests and refuses revocations of slice 1.
class backend_gateway_test : public ::testing::Test
{
protected:
    backend_gateway_test()
        : m_server({}, [this](const http::request& message) { return answer(message); }),
          m_gateway(m_clock, {}, [this](core::attempt_finished finished, const http::response&) {
              const std::lock_guard<std::mutex> lock(m_mutex);
              m_finished.push_back(std::move(finished));
              m_changed.notify_all();
          })
    {
        EXPECT_TRUE(m_server.start());
        core::backend_info info;
        info.m_service = "orders";
        info.m_address = m_server.bound_address();
        info.m_start_id = "s1";
        info.m_connections = 4;
        m_gateway.set_backend(info);
    }

    ~backend_gateway_test() override { m_gateway.stop(); }

    http::response answer(const http::request& message)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_requests.push_back(message);
        m_changed.notify_all();
        const auto body = json::parse(message.m_body, nullptr, false);
        const bool refused = body.is_object() && body.contains("revoked") && body["slice"] == 1;
        http::response reply;
        reply.m_status = refused ? 412 : 200;
        return reply;
    }

    core::attempt_finished dispatch(bool idempotent, duration lease_left)
    {
        core::dispatch_to_backend effect;
        effect.m_token = ++m_token;
        effect.m_attempt = 1;
        effect.m_send_before = m_clock.now() + lease_left;
        effect.m_deadline = m_clock.now() + seconds(20);
        effect.m_idempotent = idempotent;
        core::request_info info;
        info.m_idempotent = idempotent;
        http::request message;
        message.m_method = idempotent ? "GET" : "POST";
        message.m_target = "/work";
        m_gateway.dispatch(effect, info, message);
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait_for(lock, seconds(30), [&] { return m_finished.size() == m_token; });
        return m_finished.empty() ? core::attempt_finished{} : m_finished.back();
    }

    /// Waits for a control call whose body contains all fields of `wanted`; false after 30 s.
    bool received(const json& wanted)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_changed.wait_for(lock, seconds(30), [&] {
            for (const auto& message : m_requests) {
                auto body = json::parse(message.m_body, nullptr, false);
                if (!body.is_object())
                    continue;
                const auto whole = body;
                body.update(wanted);
                if (body == whole)
                    return true;
            }
            return false;
        });
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<http::request> m_requests;
    std::vector<core::attempt_finished> m_finished;
    std::uint64_t m_token = 0;
    steady_clock m_clock;
    http::server m_server;
    backend_gateway m_gateway;
};

// Guards against a request that is sent after the lease ended because the process was paused
// between the dispatch decision and the write.
TEST_F(backend_gateway_test, nothing_is_sent_after_the_lease_ended)
{
    const auto finished = dispatch(false, duration(0));
    EXPECT_EQ(finished.m_outcome, core::attempt_outcome::lease_ended);
    EXPECT_EQ(finished.m_executed, executed::no);
    EXPECT_TRUE(m_requests.empty());
    EXPECT_EQ(dispatch(false, seconds(20)).m_outcome, core::attempt_outcome::answered);
}

// Guards against a non-idempotent request on a reused connection, whose loss leaves it unknown
// whether the request was executed.
TEST_F(backend_gateway_test, non_idempotent_requests_use_a_connection_each)
{
    EXPECT_EQ(dispatch(true, seconds(20)).m_outcome, core::attempt_outcome::answered);
    EXPECT_EQ(dispatch(false, seconds(20)).m_outcome, core::attempt_outcome::answered);
    ASSERT_EQ(m_requests.size(), 2U);
    const auto* reused = http::find_header(m_requests[0].m_headers, "Connection");
    EXPECT_TRUE(reused == nullptr || *reused != "close");
    const auto* fresh = http::find_header(m_requests[1].m_headers, "Connection");
    ASSERT_NE(fresh, nullptr);
    EXPECT_EQ(*fresh, "close");
}

// Guards against a grant that is not sent because the revocation of another slice is refused, and
// against revocations without the epoch that the backend server requires.
TEST_F(backend_gateway_test, refused_revocation_does_not_hold_back_grants)
{
    m_gateway.set_grant({{{"orders", 1}, 5}, true});
    EXPECT_TRUE(received({{"slice", 1}, {"epoch", 5}, {"revoked", true}}));
    m_gateway.set_grant({{{"orders", 2}, 7}, false});
    EXPECT_TRUE(received({{"slice", 2}, {"epoch", 7}}));
}

} // namespace
} // namespace azureladder::node
