#include "connected_node.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

constexpr routing::quota_limit limit{10.0, 10.0};

/// Configuration with the organisations "urgent" (no limit) and "limited", whose keys are their
/// names, and the unusable key "bad".
std::shared_ptr<routing::routing_configuration> with_organisations(bool allows_anonymous = false)
{
    auto result = std::make_shared<routing::routing_configuration>(*make_configuration());
    result->m_has_organisations = true;
    result->m_routes[0].m_allows_anonymous = allows_anonymous;
    result->m_organisations["urgent"] = {"urgent", 0, {}};
    result->m_organisations["limited"] = {"limited", 3, limit};
    result->m_organisation_of_key = {{"urgent", "urgent"}, {"limited", "limited"}, {"bad", ""}};
    return result;
}

node_state make_node_with(const std::shared_ptr<const routing::routing_configuration>& wanted)
{
    node_state state = make_connected_node({"a", "b"});
    step(state, configuration_decoded{6, "text", wanted}, start_time);
    return state;
}

effects send(node_state& state, const std::optional<std::string>& key, time_point now = start_time)
{
    caller_request request = make_request();
    request.m_api_key = key;
    request.m_organisation_headers = {{"Authorization", "Token x"}};
    return step(state, request, now);
}

template <class Frame>
std::vector<std::pair<std::uint64_t, Frame>> sent_frames(const effects& done)
{
    std::vector<std::pair<std::uint64_t, Frame>> result;
    for (const auto& effect : done) {
        const auto* sent = std::get_if<send_frame>(&effect);
        if (sent != nullptr && std::holds_alternative<Frame>(sent->m_frame))
            result.emplace_back(sent->m_link, std::get<Frame>(sent->m_frame));
    }
    return result;
}

/// A node that asks the peer of link 1 for tokens of "limited".
node_state make_node_that_asks(std::uint64_t& asked_link, std::uint64_t& id)
{
    node_state state = make_node_with(with_organisations());
    for (const std::uint64_t link : {1, 2}) {
        status_frame status;
        status.m_status.m_service = "orders";
        status.m_status.m_report.m_open = true;
        status.m_status.m_report.m_limit = 4;
        status.m_status.m_counts_quotas = true;
        step(state, frame_received{link, status}, start_time);
    }
    const auto asked = sent_frames<quota_request_frame>(send(state, "limited"));
    EXPECT_EQ(asked.size(), 1U);
    asked_link = asked.at(0).first;
    id = asked.at(0).second.m_id;
    return state;
}

quota_answer_frame answer(std::uint64_t id, quota_answer kind)
{
    return {id, "limited", kind, 77, 120'000};
}

} // namespace

// Guards against requests that are served without a valid key, and against a status after which
// callers of an unusable organisation do not retry.
TEST(organisations, refuses_requests_by_their_key)
{
    const auto status = [](const auto& configuration, const std::optional<std::string>& key) {
        node_state state = make_node_with(configuration);
        return response_status(send(state, key));
    };
    EXPECT_EQ(status(with_organisations(), std::nullopt), 401);
    EXPECT_EQ(status(with_organisations(), "unknown"), 401);
    EXPECT_EQ(status(with_organisations(true), "unknown"), 401);
    EXPECT_EQ(status(with_organisations(), "bad"), 503);
    EXPECT_EQ(status(with_organisations(), "urgent"), 0);
    EXPECT_EQ(status(with_organisations(true), std::nullopt), 0);
    auto unreadable = with_organisations();
    unreadable->m_has_unreadable_keys = true;
    EXPECT_EQ(status(unreadable, "unknown"), 503);
}

// Guards against a key that is forwarded, and against a change for configurations without
// organisations.
TEST(organisations, forwards_the_name_and_not_the_key)
{
    node_state state = make_node_with(with_organisations());
    const auto request = sent_frames<request_frame>(send(state, "urgent")).at(0).second.m_request;
    EXPECT_EQ(request->m_organisation, "urgent");
    EXPECT_TRUE(request->m_headers.empty());
    node_state plain = make_connected_node({"a", "b"});
    const auto as_before = sent_frames<request_frame>(send(plain, "any")).at(0).second.m_request;
    EXPECT_EQ(as_before->m_organisation, "");
    ASSERT_EQ(as_before->m_headers.size(), 1U);
    EXPECT_EQ(as_before->m_headers[0].m_name, "Authorization");
}

// Guards against a request that is sent before the quota grants it, and against further tokens when
// it is sent to another gate.
TEST(organisations, takes_one_token_for_all_gates)
{
    std::uint64_t link = 0;
    std::uint64_t id = 0;
    node_state state = make_node_that_asks(link, id);
    const auto granted =
        step(state, frame_received{link, answer(id, quota_answer::granted)}, start_time);
    auto [gate, frame] = sent_request(granted);
    ASSERT_NE(gate, 0U);
    const auto next =
        step(state, frame_received{gate, refusal_frame{frame, refusal_reason::closed, 0, {}, {}}},
             start_time);
    EXPECT_NE(sent_request(next).first, 0U);
    EXPECT_TRUE(sent_frames<quota_request_frame>(next).empty());
    // The other gate refuses too, so the token is returned.
    std::tie(gate, frame) = sent_request(next);
    const auto end =
        step(state, frame_received{gate, refusal_frame{frame, refusal_reason::closed, 0, {}, {}}},
             start_time);
    EXPECT_EQ(response_status(end), 503);
    const auto returned = sent_frames<quota_return_frame>(end);
    ASSERT_EQ(returned.size(), 1U);
    EXPECT_EQ(returned[0].first, link);
    EXPECT_EQ(returned[0].second.m_granted_us, 77);
}

// Guards against a Retry-After that is not that of the counting node.
TEST(organisations, refuses_a_request_beyond_the_quota)
{
    std::uint64_t link = 0;
    std::uint64_t id = 0;
    node_state state = make_node_that_asks(link, id);
    const auto done =
        step(state, frame_received{link, answer(id, quota_answer::refused)}, start_time);
    EXPECT_EQ(response_status(done), 429);
    const auto response = std::find_if(done.begin(), done.end(), [](const auto& effect) {
        return std::holds_alternative<respond_to_caller>(effect);
    });
    EXPECT_EQ(std::get<respond_to_caller>(*response).m_retry_after, duration(milliseconds(120)));
}

// Guards against execution for a caller that has left while its request waited, and the loss of the
// token that arrives then.
TEST(organisations, returns_the_token_of_a_caller_that_has_left)
{
    std::uint64_t link = 0;
    std::uint64_t id = 0;
    node_state state = make_node_that_asks(link, id);
    step(state, caller_disconnected{1}, start_time);
    const auto done =
        step(state, frame_received{link, answer(id, quota_answer::granted)}, start_time);
    EXPECT_EQ(sent_request(done).first, 0U);
    EXPECT_EQ(sent_frames<quota_return_frame>(done).size(), 1U);
}

// Guards against requests that wait for an unresponsive counting node until their deadline, and
// against a later grant that is used in addition.
TEST(organisations, waits_for_a_share_of_the_target_latency)
{
    std::uint64_t link = 0;
    std::uint64_t id = 0;
    node_state state = make_node_that_asks(link, id);
    EXPECT_EQ(response_status(step(state, timer_tick{}, start_time + milliseconds(200))), 0);
    const auto done = step(state, timer_tick{}, start_time + milliseconds(260));
    EXPECT_EQ(response_status(done), 503);
    EXPECT_EQ(sent_request(done).first, 0U);
    const auto late = step(state, frame_received{link, answer(id, quota_answer::granted)},
                           start_time + milliseconds(270));
    EXPECT_EQ(sent_frames<quota_return_frame>(late).size(), 1U);
}

// Guards against a new bucket at each check while the counting node does not know an organisation
// that its ingresses know already.
TEST(organisations, counts_once_for_an_organisation_that_is_not_configured_yet)
{
    node_state state = make_node_with(with_organisations());
    step(state, frame_received{9, hello_frame{"c", 1, "c:0", "", {}, {}}}, start_time);
    step(state, link_closed{1}, start_time);
    step(state, link_closed{2}, start_time);
    int granted = 0;
    for (int i = 0; i < 200; ++i) {
        const time_point now = start_time + milliseconds(10) * i;
        step(state, timer_tick{}, now);
        const auto done = step(state, frame_received{9, quota_request_frame{9, "new", limit}}, now);
        for (const auto& [link, frame] : sent_frames<quota_answer_frame>(done))
            granted += frame.m_answer == quota_answer::granted ? 1 : 0;
    }
    EXPECT_GE(granted, 1);
    EXPECT_LE(granted, 8);
}

// Guards against two nodes that count at the same time.
TEST(organisations, counts_only_if_no_preceding_node_is_reached)
{
    std::uint64_t link = 0;
    std::uint64_t id = 0;
    node_state state = make_node_that_asks(link, id);
    step(state, frame_received{9, hello_frame{"c", 1, "c:0", "", {}, {}}}, start_time);
    const auto answer_of = [&] {
        const auto done =
            step(state, frame_received{9, quota_request_frame{9, "limited", limit}}, start_time);
        return sent_frames<quota_answer_frame>(done).at(0).second.m_answer;
    };
    EXPECT_EQ(answer_of(), quota_answer::not_counting);
    step(state, link_closed{1}, start_time);
    step(state, link_closed{2}, start_time);
    EXPECT_EQ(answer_of(), quota_answer::granted);
}

} // namespace azureladder::sidecar
