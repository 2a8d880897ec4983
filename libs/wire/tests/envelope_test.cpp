#include <azureladder/wire/envelope.hpp>

#include <gtest/gtest.h>

namespace azureladder::wire {
namespace {

// Guards against control traffic above the budget of docs/design.md, section 6.
TEST(envelope, lease_request_is_small)
{
    core::lease_request request;
    request.m_plan_version = 60'000;
    request.m_witness = 0xfedcba9876543210;
    request.m_sequence = 4'000'000'000;
    request.m_revision = 4'000'000'000;
    request.m_directory_digest = 0xfedcba9876543210;
    const envelope sent{{"node-0123456789a", 0xfedcba9876543210},
                        {"255.255.255.255", 65'535},
                        core::message(request)};
    EXPECT_LE(encode(sent).size(), 90U);
    const auto bytes = encode(sent);
    const auto received = decode(bytes.data(), bytes.size());
    ASSERT_TRUE(received);
    EXPECT_EQ(received.value().m_reply_to, sent.m_reply_to);
}

} // namespace
} // namespace azureladder::wire
