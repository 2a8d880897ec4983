#include <azureladder/platform/memory_store.hpp>

#include <gtest/gtest.h>

namespace azureladder::platform {
namespace {

// Guards against a write that ignores the expected version, which would lose another writer's
// value.
TEST(memory_store, second_writer_gets_a_conflict_with_the_current_version)
{
    memory_store values;
    EXPECT_EQ(values.write("k", "a", 0).value(), 1U);
    EXPECT_EQ(values.write("k", "b", 1).value(), 2U);
    const auto stale = values.write("k", "c", 1);
    ASSERT_FALSE(stale);
    EXPECT_EQ(stale.error().m_kind, store_error_kind::conflict);
    EXPECT_EQ(stale.error().m_current_version, 2U);
    EXPECT_EQ(values.read("k").value()->m_value, "b");
}

// Guards against a conditional read that misses a change or returns an unchanged value.
TEST(memory_store, conditional_read_returns_only_changes)
{
    memory_store values;
    EXPECT_FALSE(values.read_if_changed("k", 0).value().m_unchanged);
    EXPECT_TRUE(values.write("k", "a", 0));
    EXPECT_EQ(values.read_if_changed("k", 0).value().m_value->m_value, "a");
    EXPECT_TRUE(values.read_if_changed("k", 1).value().m_unchanged);
    EXPECT_EQ(values.read_if_changed("k", 2).value().m_value->m_version, 1U);
}

// Guards against a fake that discards the write with its response: callers must read the key to
// get the outcome.
TEST(memory_store, lost_response_keeps_the_write)
{
    memory_store values;
    values.lose_next_responses(1);
    const auto lost = values.write("k", "a", 0);
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.error().m_kind, store_error_kind::unknown);
    EXPECT_EQ(values.read("k").value()->m_version, 1U);
}

// Guards against writes that take effect during an outage, and against uncounted calls.
TEST(memory_store, fails_without_effect_during_outage)
{
    memory_store values;
    values.set_outage(true);
    EXPECT_EQ(values.write("k", "a", 0).error().m_kind, store_error_kind::unavailable);
    EXPECT_EQ(values.read("k").error().m_kind, store_error_kind::unavailable);
    values.set_outage(false);
    EXPECT_FALSE(values.read("k").value());
    EXPECT_EQ(values.counts().m_reads, 2U);
    EXPECT_EQ(values.counts().m_writes, 1U);
}

// Guards against a fake that accepts values that the platform rejects.
TEST(memory_store, rejects_values_above_the_limit)
{
    memory_store values;
    const std::string large(max_value_bytes + 1, 'x');
    EXPECT_EQ(values.write("k", large, 0).error().m_kind, store_error_kind::too_large);
    EXPECT_TRUE(values.write("k", large.substr(1), 0));
}

} // namespace
} // namespace azureladder::platform
