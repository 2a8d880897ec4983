#include <azureladder/sidecar/sequence_window.hpp>

#include <gtest/gtest.h>

#include <limits>

namespace azureladder::sidecar {

// Guards against a missing announcement that counts as received because another one came twice.
TEST(sequence_window, is_complete_when_each_number_has_arrived)
{
    sequence_window window;
    record_sequence(window, 1);
    record_sequence(window, 2);
    EXPECT_TRUE(is_complete(window));
    record_sequence(window, 5);
    record_sequence(window, 3);
    record_sequence(window, 3);
    EXPECT_FALSE(is_complete(window));
    record_sequence(window, 4);
    EXPECT_TRUE(is_complete(window));
}

// Guards against a process that takes for received what was sent before its start.
TEST(sequence_window, numbers_before_the_first_received_one_are_missing)
{
    sequence_window window;
    record_sequence(window, 10);
    EXPECT_FALSE(is_complete(window));
    for (std::int64_t number = 1; number < 10; ++number)
        record_sequence(window, number);
    EXPECT_TRUE(is_complete(window));
    record_sequence(window, 100);
    EXPECT_FALSE(is_complete(window));
}

// Guards against undefined behaviour with numbers of other writers.
TEST(sequence_window, extreme_numbers_are_recorded)
{
    sequence_window window;
    record_sequence(window, std::numeric_limits<std::int64_t>::min());
    EXPECT_TRUE(is_complete(window));
    record_sequence(window, std::numeric_limits<std::int64_t>::max());
    EXPECT_FALSE(is_complete(window));
    record_sequence(window, std::numeric_limits<std::int64_t>::min());
    EXPECT_EQ(window.m_received, 1U);
}

} // namespace azureladder::sidecar
