#include <azureladder/key_ranges/grant_history.hpp>

#include <gtest/gtest.h>

namespace azureladder::key_ranges {

namespace {

constexpr time_point start{seconds(100)};
const key_lease_options options;

/// Time at which the leases of all grants sent at `start` have expired.
const time_point later = lease_end(start, options);

} // namespace

// Guards against transferring a range while the server may still apply one of several earlier
// grants of its keys.
TEST(grant_history, late_grants_count_until_each_has_expired)
{
    grant_history history;
    record_grant(history, 1, 0, 99, start);
    record_grant(history, 2, 50, 149, start + seconds(1));
    record_accepted_grant(history, 2);
    EXPECT_TRUE(may_be_granted_late(history, 0, 10, start, options));
    EXPECT_FALSE(may_be_granted_late(history, 100, 149, start, options));
    // Keys covered by both grants stay leased until the later lease expires.
    EXPECT_EQ(latest_lease_end(history, 60, 60, options), later + seconds(1));
    remove_expired_grants(history, later, options);
    ASSERT_EQ(history.size(), 1U);
    EXPECT_FALSE(may_be_granted_late(history, 0, 99, later, options));
    EXPECT_TRUE(may_be_leased(history, 99, 99, later, options));
    EXPECT_FALSE(may_be_leased(history, 99, 99, later + seconds(1), options));
}

// Guards against treating a grant as applied before a release because the server has accepted it:
// an acceptance that arrives after the release was sent doesn't show the order.
TEST(grant_history, acceptance_after_a_release_does_not_show_the_order)
{
    grant_history history;
    record_grant(history, 1, 0, 99, start);
    mark_unanswered_grants_released(history, 40, 60);
    record_accepted_grant(history, 1);
    EXPECT_TRUE(may_be_granted_late(history, 40, 60, start, options));
    EXPECT_FALSE(may_be_granted_late(history, 40, 60, later, options));
}

TEST(grant_history, accepted_and_unsent_grants_are_not_applied_late)
{
    grant_history history;
    record_grant(history, 1, 0, 99, start);
    record_grant(history, 2, 200, 299, start);
    EXPECT_TRUE(has_unanswered_grant_since(history, 0, 299, start - milliseconds(1)));
    EXPECT_FALSE(has_unanswered_grant_since(history, 0, 299, start));
    record_accepted_grant(history, 1);
    mark_unanswered_grants_released(history, 0, 99);
    remove_unsent_grant(history, 2);
    EXPECT_FALSE(has_unanswered_grant_since(history, 0, 299, start - milliseconds(1)));
    EXPECT_FALSE(may_be_granted_late(history, 0, 299, start, options));
    EXPECT_FALSE(may_be_leased(history, 200, 299, start, options));
}

// Guards against a restarted process that releases a range while a grant sent by the previous
// process may still arrive.
TEST(grant_history, starts_with_the_grants_of_the_previous_process)
{
    const grant_history history = make_grant_history(start);
    EXPECT_TRUE(may_be_leased(history, 0, 0, start, options));
    EXPECT_TRUE(may_be_granted_late(history, max_key, max_key, start, options));
    EXPECT_FALSE(may_be_leased(history, 0, max_key, later, options));
}

} // namespace azureladder::key_ranges
