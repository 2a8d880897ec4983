#include "peer_gateway.hpp"

#include <azureladder/base/steady_clock.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

namespace azureladder::node {
namespace {

const member_id entry{"entry", 11};
const member_id owner{"owner", 22};

/// Gateway of an entry node and a peer whose replies the test sends.
class peer_gateway_test : public ::testing::Test
{
protected:
    peer_gateway_test()
        : m_peer(m_io, m_clock, {}, peer_callbacks()),
          m_gateway(
              m_io, gateway_options(), m_clock, process, [] { return entry; }, gateway_callbacks())
    {
        EXPECT_TRUE(m_peer.start());
        EXPECT_TRUE(m_gateway.start());
    }

    static peer_gateway_options gateway_options()
    {
        peer_gateway_options options;
        options.m_max_claim_body_bytes = body_limit;
        return options;
    }

    peer::transport_callbacks peer_callbacks()
    {
        peer::transport_callbacks callbacks;
        callbacks.m_on_envelope = [this](const wire::envelope& value, wire::channel) {
            if (const auto* frame = std::get_if<wire::request_frame>(&value.m_payload))
                m_request = *frame;
        };
        callbacks.m_on_frame_failed = [](peer::frame_id, bool) {};
        return callbacks;
    }

    peer_gateway_callbacks gateway_callbacks()
    {
        peer_gateway_callbacks callbacks;
        callbacks.m_on_attempt_finished = [this](core::attempt_finished value,
                                                 const http::response&) {
            m_finished.push_back(std::move(value));
        };
        callbacks.m_on_late_reply = [this](const member_id&) { ++m_late; };
        callbacks.m_on_invalid_input = [](const std::string&) {};
        return callbacks;
    }

    template <class Condition>
    bool run_until(Condition done)
    {
        const auto limit = std::chrono::steady_clock::now() + seconds(30);
        while (!done() && std::chrono::steady_clock::now() < limit)
            m_io.run_one_for(milliseconds(50));
        return done();
    }

    void forward()
    {
        core::forward_request effect;
        effect.m_token = 1;
        effect.m_attempt = 1;
        effect.m_to = owner;
        effect.m_address = m_peer.advertised();
        effect.m_deadline = m_clock.now() + seconds(60);
        open_request request;
        request.m_message.m_target = "/work";
        request.m_info.m_request_id = "r1";
        request.m_info.m_service = "orders";
        m_gateway.forward(effect, request);
        ASSERT_TRUE(run_until([&] { return m_request.has_value(); }));
    }

    void answer(const member_id& from, const wire::correlation& correlation,
                core::attempt_number attempt, const std::string& body = "done")
    {
        wire::reply_frame frame;
        frame.m_correlation = correlation;
        frame.m_attempt = attempt;
        frame.m_executed = executed::yes;
        frame.m_result = wire::reply_content{200, {}, body.size(), body};
        m_peer.send_frame(m_gateway.advertised(), wire::encode({from, m_peer.advertised(), frame}),
                          false);
    }

    static constexpr incarnation_id process = 77;
    static constexpr std::size_t body_limit = 16;
    steady_clock m_clock;
    boost::asio::io_context m_io;
    std::optional<wire::request_frame> m_request;
    std::vector<core::attempt_finished> m_finished;
    int m_late = 0;
    peer::transport m_peer;
    peer_gateway m_gateway;
};

// Guards against a reply that is delivered to the caller of another request: a reply to an earlier
// process of the entry node, to another request or attempt, from another node, or a duplicate.
TEST_F(peer_gateway_test, only_the_matching_reply_is_accepted)
{
    ASSERT_NO_FATAL_FAILURE(forward());
    const auto right = m_request->m_correlation;
    const auto attempt = m_request->m_attempt;
    answer(owner, {right.m_incarnation + 1, right.m_counter}, attempt);
    answer(owner, {right.m_incarnation, right.m_counter + 1}, attempt);
    answer(owner, right, attempt + 1);
    answer({"other", 33}, right, attempt);
    ASSERT_TRUE(run_until([&] { return m_late + int(m_finished.size()) == 4; }));
    EXPECT_EQ(m_late, 4);
    EXPECT_TRUE(m_finished.empty());
    answer(owner, right, attempt);
    answer(owner, right, attempt);
    ASSERT_TRUE(run_until([&] { return m_late == 5; }));
    ASSERT_EQ(m_finished.size(), 1U);
    EXPECT_EQ(m_finished[0].m_outcome, core::attempt_outcome::answered);
}

// Guards against a reply body above the configured claim limit that is passed to the reducer.
TEST_F(peer_gateway_test, only_small_replies_are_stored_with_claims)
{
    for (const auto size : {body_limit, body_limit + 1}) {
        m_request.reset();
        ASSERT_NO_FATAL_FAILURE(forward());
        answer(owner, m_request->m_correlation, m_request->m_attempt, std::string(size, 'x'));
        const auto expected = m_finished.size() + 1;
        ASSERT_TRUE(run_until([&] { return m_finished.size() == expected; }));
    }
    EXPECT_TRUE(m_finished[0].m_has_reply);
    EXPECT_EQ(m_finished[0].m_body.size(), body_limit);
    EXPECT_FALSE(m_finished[1].m_has_reply);
}

} // namespace
} // namespace azureladder::node
