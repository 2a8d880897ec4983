#include <azureladder/key_ranges/range_table_json.hpp>
#include <azureladder/key_ranges/range_table_recovery.hpp>
#include <azureladder/key_ranges/store_revision.hpp>

#include <gtest/gtest.h>

namespace azureladder::key_ranges {

namespace {

const range_owner a{"a", "i-a"};
const range_owner b{"b", "i-b"};

} // namespace

// Guards against two lease holders after the store has lost a transfer: the former owner is in the
// table again, while the present one holds the keys.
TEST(range_table_recovery, restores_lost_transfers_and_confirms_claims_only)
{
    const range_table stored = make_range_table({a, b});
    range_table known = stored;
    transfer_keys(known, 100, 199, b, "handover");
    const range_table seen_by_c = recover_table(stored, known, {"c", "i-c"}, {}, 1);
    EXPECT_EQ(find_range(seen_by_c, 150)->m_owner, "b");
    EXPECT_EQ(find_range(seen_by_c, 150)->m_era, 0U);
    const range_table claimed = recover_table(seen_by_c, known, b, {{100, 199}, {32768, 65535}}, 1);
    EXPECT_TRUE(is_consistent(claimed));
    EXPECT_EQ(find_range(claimed, 150)->m_era, 1U);
    EXPECT_GE(find_range(claimed, 150)->m_fencing_token, first_fencing_token(1));
    EXPECT_EQ(find_range(claimed, 99)->m_owner, "a");
    EXPECT_EQ(find_range(claimed, 99)->m_era, 0U);
    // A claim of this era stays, whatever another node knew of the former era.
    const range_table later = recover_table(claimed, known, a, {{0, 32767}}, 1);
    EXPECT_EQ(find_range(later, 150)->m_owner, "b");
    EXPECT_EQ(find_range(later, 99)->m_era, 1U);
    EXPECT_TRUE(is_consistent(later));
}

// Guards against fencing tokens that are assigned twice: those that the store has lost may be in
// use.
TEST(range_table_recovery, confirms_with_tokens_above_those_of_former_eras)
{
    range_table table = make_range_table({a, b});
    confirm_ranges(table, a, 3);
    EXPECT_EQ(find_range(table, 0)->m_fencing_token, first_fencing_token(3));
    EXPECT_EQ(find_range(table, 0)->m_era, 3U);
    EXPECT_EQ(find_range(table, 65535)->m_era, 0U);
    const auto read = parse_range_table(to_json_text(table));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->m_entries, table.m_entries);
}

// Guards against a revision of a former era that counts as newer because its number is higher.
TEST(store_revision, orders_by_era_first)
{
    EXPECT_LT(store_revision(1, 900), store_revision(2, 3));
    EXPECT_EQ(era_of(store_revision(2, 3)), 2U);
    EXPECT_EQ(number_of(store_revision(2, 3)), 3U);
    EXPECT_EQ(store_revision(0, 77), 77U);
}

} // namespace azureladder::key_ranges
