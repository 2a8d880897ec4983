#include <azureladder/sidecar/peer_frame_codec.hpp>

#include <gtest/gtest.h>

#include <random>

namespace azureladder::sidecar {

namespace {

request_frame make_request()
{
    auto request = std::make_shared<forwarded_request>();
    request->m_request_id = "id-1";
    request->m_method = "POST";
    request->m_target = "/a/b?c=\xff";
    request->m_host = "h.example";
    request->m_headers = {{"X-Bytes", std::string("\x01\xfe", 2)}};
    request->m_body = std::string("\0body", 5);
    request->m_key = 65535;
    request->m_service = "s";
    request->m_route = "r";
    request->m_priority = 2;
    request->m_kind = routing::request_kind::non_idempotent;
    request->m_organisation = "o";
    request->m_organisation_priority = 3;
    return {7, request, 1'500'000, 600'000, true, 0, false};
}

template <class Frame>
Frame round_trip(const Frame& frame)
{
    const std::string bytes = encode_frame(frame);
    peer_frame decoded;
    std::size_t used = 0;
    EXPECT_EQ(decode_frame(bytes, decoded, used), frame_state::complete);
    EXPECT_EQ(used, bytes.size());
    return std::get<Frame>(decoded);
}

} // namespace

TEST(peer_frame_codec, preserves_requests)
{
    const request_frame sent = make_request();
    const request_frame received = round_trip(sent);
    EXPECT_EQ(received.m_id, sent.m_id);
    EXPECT_EQ(received.m_remaining_us, sent.m_remaining_us);
    EXPECT_TRUE(received.m_is_retry);
    EXPECT_FALSE(received.m_accepts_late);
    EXPECT_EQ(received.m_request->m_target, sent.m_request->m_target);
    EXPECT_EQ(received.m_request->m_body, sent.m_request->m_body);
    EXPECT_EQ(received.m_request->m_headers[0].m_value, sent.m_request->m_headers[0].m_value);
    EXPECT_EQ(received.m_request->m_key, sent.m_request->m_key);
    EXPECT_EQ(received.m_request->m_kind, sent.m_request->m_kind);
    EXPECT_EQ(received.m_request->m_organisation, "o");
    EXPECT_EQ(received.m_request->m_organisation_priority, 3U);
}

TEST(peer_frame_codec, preserves_quota_frames)
{
    const auto asked = round_trip(quota_request_frame{7, "o", {1.5, 2.5}});
    EXPECT_EQ(asked.m_id, 7U);
    EXPECT_EQ(asked.m_organisation, "o");
    EXPECT_EQ(asked.m_limit.m_rate_per_s, 1.5);
    EXPECT_EQ(asked.m_limit.m_burst, 2.5);
    const auto answer = round_trip(quota_answer_frame{7, "o", quota_answer::refused, 5, 6});
    EXPECT_EQ(answer.m_answer, quota_answer::refused);
    EXPECT_EQ(answer.m_granted_us, 5);
    EXPECT_EQ(answer.m_retry_after_us, 6);
    EXPECT_EQ(round_trip(quota_return_frame{"o", 5}).m_granted_us, 5);
}

TEST(peer_frame_codec, preserves_refusals_with_and_without_an_owner)
{
    refusal_frame refusal{9, refusal_reason::not_owner, 250, {}, owner_hint{5, 9, "node", 77}};
    refusal.m_report.m_limit = 12;
    const refusal_frame received = round_trip(refusal);
    EXPECT_EQ(received.m_reason, refusal_reason::not_owner);
    EXPECT_EQ(received.m_report.m_limit, 12U);
    ASSERT_TRUE(received.m_owner);
    EXPECT_EQ(received.m_owner->m_fencing_token, 77U);
    refusal.m_owner.reset();
    EXPECT_FALSE(round_trip(refusal).m_owner);
}

TEST(peer_frame_codec, preserves_hello_status_and_documents)
{
    EXPECT_EQ(round_trip(hello_frame{"n", 1ULL << 63, "1.2.3.4:5", "z", {{"m", "1.2.3.5:6"}}})
                  .m_known_nodes.size(),
              1U);
    EXPECT_TRUE(round_trip(hello_frame{"n", 1, "a", "z", {}, {}}).m_known_nodes.empty());
    EXPECT_EQ(round_trip(hello_frame{"n", 1, "a", "z", {}, {{"i", 9}}}).m_departed_servers.at("i"),
              9);
    status_frame status;
    status.m_documents["configuration"] = 12;
    status.m_confirmation_age_us["keys/s"] = 99;
    status.m_status.m_server_incarnation = "i#1";
    status.m_status.m_departed_servers["i"] = 7;
    EXPECT_EQ(round_trip(status).m_confirmation_age_us.at("keys/s"), 99);
    EXPECT_EQ(round_trip(status).m_status.m_departed_servers.at("i"), 7);
    status.m_status.m_report.m_predicted_wait = milliseconds(40);
    status.m_status.m_report.m_route_times = {{5, milliseconds(60)}};
    EXPECT_EQ(round_trip(status).m_status.m_report.m_predicted_wait, duration(milliseconds(40)));
    ASSERT_EQ(round_trip(status).m_status.m_report.m_route_times.size(), 1U);
    EXPECT_EQ(round_trip(status).m_status.m_report.m_route_times[0].m_route, 5U);
    status.m_status.m_owner_report.m_latency = 0.5;
    EXPECT_EQ(round_trip(status).m_status.m_owner_report.m_latency, 0.5);
    EXPECT_EQ(round_trip(document_frame{"d", 4, "{}", -1}).m_text, "{}");
}

// Guards against a gate that executes a request without its body, because the length is lost.
TEST(peer_frame_codec, preserves_bodies_that_travel_apart)
{
    request_frame request = make_request();
    request.m_body_bytes = 360'000;
    EXPECT_EQ(round_trip(request).m_body_bytes, 360'000U);
    EXPECT_EQ(round_trip(body_request_frame{9}).m_id, 9U);
    const body_frame body{9, std::make_shared<std::string>("\0body", 5)};
    EXPECT_EQ(*round_trip(body).m_body, *body.m_body);
    request.m_body_bytes = max_frame_bytes + 1;
    peer_frame decoded;
    std::size_t used = 0;
    EXPECT_EQ(decode_frame(encode_frame(request), decoded, used), frame_state::malformed);
}

// Guards against errors on frames that a socket read returns partially, and on invalid bytes.
TEST(peer_frame_codec, waits_for_complete_frames_and_rejects_invalid_ones)
{
    const std::string bytes = encode_frame(make_request());
    peer_frame frame;
    std::size_t used = 0;
    for (std::size_t size = 0; size < bytes.size(); ++size)
        EXPECT_EQ(decode_frame(bytes.substr(0, size), frame, used), frame_state::incomplete);
    EXPECT_EQ(decode_frame(std::string(64, '\xff'), frame, used), frame_state::invalid);
    std::mt19937 random(3);
    for (int i = 0; i < 5000; ++i) {
        std::string damaged = bytes;
        for (int j = 0; j < 3; ++j)
            damaged[8 + random() % (damaged.size() - 8)] = static_cast<char>(random());
        // Must not crash; the damaged frame may be valid by chance.
        decode_frame(damaged, frame, used);
    }
}

} // namespace azureladder::sidecar
