#include <azureladder/routing/attempt_age.hpp>

#include <gtest/gtest.h>

namespace azureladder::routing {

// Guards against a latency target that restarts with each retry of a caller.
TEST(attempt_age, counts_from_the_first_attempt)
{
    deadline_history history;
    const attempt_age_options options;
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(attempt_age(history, milliseconds(1500), options), duration::zero());
    EXPECT_EQ(attempt_age(history, milliseconds(1498), options), duration::zero());
    EXPECT_EQ(attempt_age(history, milliseconds(1100), options), duration(milliseconds(400)));
}

// Guards against treating nested calls as retries: their remaining times vary with those of their
// parent requests.
TEST(attempt_age, is_zero_without_a_common_deadline)
{
    deadline_history history;
    const attempt_age_options options;
    for (int i = 0; i < 500; ++i)
        attempt_age(history, milliseconds(100 + i * 37 % 400), options);
    EXPECT_EQ(attempt_age(history, milliseconds(200), options), duration::zero());
}

// Guards against treating all requests as retries after the callers have shortened their deadline.
TEST(attempt_age, discards_a_deadline_that_is_no_longer_used)
{
    deadline_history history;
    const attempt_age_options options;
    attempt_age(history, milliseconds(3000), options);
    for (int i = 0; i < 500; ++i)
        attempt_age(history, milliseconds(1000), options);
    EXPECT_EQ(attempt_age(history, milliseconds(1000), options), duration::zero());
    EXPECT_EQ(attempt_age(history, milliseconds(600), options), duration(milliseconds(400)));
}

} // namespace azureladder::routing
