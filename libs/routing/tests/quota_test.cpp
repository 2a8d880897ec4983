#include <azureladder/routing/organisation.hpp>
#include <azureladder/routing/quota.hpp>

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace azureladder::routing {

namespace {

constexpr time_point start{seconds(1000)};
constexpr quota_limit limit{10.0, 10.0};
const quota_options options;

/// Bucket that holds all tokens it can hold.
quota_bucket full_bucket()
{
    quota_bucket bucket = start_counting(limit, 1.0, options, start - seconds(10));
    for (int i = 0; i < 40; ++i)
        update_counting(bucket, limit, 1.0, options, start - seconds(10) + milliseconds(250) * i);
    update_counting(bucket, limit, 1.0, options, start);
    return bucket;
}

int take_all(quota_bucket& bucket, time_point now)
{
    int taken = 0;
    while (!take_token(bucket, limit, 1.0, now))
        ++taken;
    return taken;
}

} // namespace

// Guards against a bucket that is refilled for the time in which another node counted, or in which
// the process stood still.
TEST(quota, adds_no_tokens_for_time_without_counting)
{
    quota_bucket bucket = full_bucket();
    EXPECT_EQ(take_all(bucket, start), 15);
    stop_counting(bucket, start);
    stop_counting(bucket, start + seconds(3));
    update_counting(bucket, limit, 1.0, options, start + seconds(3));
    EXPECT_EQ(take_all(bucket, start + seconds(3)), 0);
    update_counting(bucket, limit, 1.0, options, start + seconds(6));
    EXPECT_EQ(take_all(bucket, start + seconds(6)), 0);
}

// Guards against two full buckets in one window when a node counts again.
TEST(quota, resumes_with_the_tokens_of_a_start_at_most)
{
    quota_bucket bucket = full_bucket();
    stop_counting(bucket, start);
    update_counting(bucket, limit, 1.0, options, start + milliseconds(300));
    EXPECT_EQ(take_all(bucket, start + milliseconds(300)), 8);
}

// Guards against retries of refused requests that all arrive at the same time, and against a time
// of retry at which there is no token.
TEST(quota, names_successive_times_at_which_tokens_are_available)
{
    quota_bucket bucket = full_bucket();
    take_all(bucket, start);
    bucket.m_last_retry_at = {};
    EXPECT_EQ(take_token(bucket, limit, 1.0, start), duration(milliseconds(100)));
    EXPECT_EQ(take_token(bucket, limit, 1.0, start), duration(milliseconds(200)));
    for (int i = 0; i < 100; ++i)
        EXPECT_LE(take_token(bucket, limit, 1.0, start), duration(milliseconds(1100)));
    update_counting(bucket, limit, 1.0, options, start + milliseconds(100));
    EXPECT_EQ(take_token(bucket, limit, 1.0, start + milliseconds(100)), std::nullopt);
}

// Guards against a lost token for each request that was not executed, and against one that is
// returned after time has restored it.
TEST(quota, returns_a_token_once)
{
    quota_bucket bucket = full_bucket();
    take_all(bucket, start);
    return_token(bucket, limit, 1.0, options, start, start + milliseconds(50));
    EXPECT_EQ(take_all(bucket, start), 1);
    for (int i = 1; i <= 20; ++i)
        update_counting(bucket, limit, 1.0, options, start + milliseconds(250) * i);
    EXPECT_EQ(take_all(bucket, start + seconds(5)), 15);
    return_token(bucket, limit, 1.0, options, start, start + seconds(5));
    EXPECT_EQ(take_all(bucket, start + seconds(5)), 0);
}

// Guards against tokens of a former limit.
TEST(quota, caps_the_tokens_at_a_lowered_limit)
{
    quota_bucket bucket = full_bucket();
    const quota_limit lowered{1.0, 1.0};
    update_counting(bucket, lowered, 1.0, options, start);
    EXPECT_EQ(bucket.m_tokens, 6.0);
}

// Guards against ingresses that together exceed the rate while they can't ask the counting node.
TEST(quota, starts_the_fallback_without_tokens)
{
    fallback_bucket bucket;
    int taken = 0;
    for (int i = 0; i <= 100; ++i)
        taken += take_fallback_token(bucket, limit, 10, start + milliseconds(100) * i) ? 1 : 0;
    EXPECT_GE(taken, 9);
    EXPECT_LE(taken, 10);
}

// Guards against one node that counts for most organisations, although names of nodes are alike.
TEST(quota, spreads_organisations_over_nodes)
{
    std::map<std::string, int> counted;
    for (int i = 0; i < 800; ++i) {
        std::string first;
        std::uint64_t greatest = 0;
        for (int node = 0; node < 80; ++node) {
            const std::string name = "vm-" + std::to_string(node);
            const auto weight = counting_weight("organisation-" + std::to_string(i), name);
            if (weight > greatest) {
                greatest = weight;
                first = name;
            }
        }
        ++counted[first];
    }
    EXPECT_GT(counted.size(), 75U);
    for (const auto& [node, count] : counted)
        EXPECT_LE(count, 30) << node;
}

// Guards against an urgent route of a less urgent organisation that goes before the other.
TEST(quota, compares_the_priority_of_the_organisation_first)
{
    EXPECT_LT(combined_priority(1, 9), combined_priority(2, 0));
    EXPECT_LT(combined_priority(1, 2), combined_priority(1, 3));
    EXPECT_EQ(combined_priority(0, 3), 3U);
}

} // namespace azureladder::routing
