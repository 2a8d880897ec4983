#include <azureladder/key_ranges/range_table_change.hpp>
#include <azureladder/key_ranges/range_table_json.hpp>

#include <gtest/gtest.h>

#include <random>

namespace azureladder::key_ranges {

namespace {

std::vector<range_owner> make_owners(std::size_t count)
{
    std::vector<range_owner> owners;
    for (std::size_t i = 0; i < count; ++i)
        owners.push_back({"node-" + std::to_string(i), "server-" + std::to_string(i)});
    return owners;
}

/// Makes one of the changes that nodes write.
void change_randomly(range_table& table, const std::vector<range_owner>& owners,
                     std::mt19937& random)
{
    const range_entry entry = table.m_entries[random() % table.m_entries.size()];
    const range_owner& owner = owners[random() % owners.size()];
    switch (random() % 4) {
    case 0:
        take_over_ranges(table, entry.m_owner, owner);
        break;
    case 1:
        bind_incarnation(table, {entry.m_owner, "server-" + std::to_string(random() % 100)});
        break;
    case 2:
        merge_adjacent_ranges(table, entry.m_owner, 0);
        break;
    default:
        const std::uint32_t width = (entry.m_to - entry.m_from) / 2;
        transfer_keys(table, entry.m_from + width / 2, entry.m_from + width, owner, "handover");
    }
}

} // namespace

// Guards against a receiver whose table differs from the store's after it has applied changes, for
// each combination of known revisions.
TEST(range_table_change, change_leads_to_the_same_table_as_the_whole_table)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        const auto owners = make_owners(8);
        range_table_history history;
        std::vector<range_table> tables{make_range_table(owners)};
        record_revision(history, {}, tables[0], 100);
        for (std::uint64_t revision = 101; revision < 140; ++revision) {
            range_table next = tables.back();
            change_randomly(next, owners, random);
            record_revision(history, tables.back(), next, revision);
            tables.push_back(next);
            for (std::size_t i = 0; i < tables.size(); ++i) {
                const auto change = change_since(history, next, 100 + i);
                ASSERT_TRUE(change);
                const auto received = parse_range_table_change(to_json_text(*change));
                ASSERT_TRUE(received);
                const auto result = apply_change(tables[i], *received);
                ASSERT_TRUE(result) << "seed " << seed << " revision " << revision << " from " << i;
                EXPECT_EQ(result->m_entries, next.m_entries);
                EXPECT_EQ(result->m_next_fencing_token, next.m_next_fencing_token);
            }
        }
    }
}

// Guards against table changes whose size grows with the number of all ranges.
TEST(range_table_change, change_of_one_range_is_small_in_a_large_table)
{
    const auto owners = make_owners(111);
    range_table_history history;
    const range_table first = make_range_table(owners);
    range_table second = first;
    record_revision(history, {}, first, 1);
    transfer_keys(second, 10, 20, owners[5], "");
    record_revision(history, first, second, 2);
    const auto change = change_since(history, second, 1);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->m_entries.size(), 3U);
    EXPECT_LT(to_json_text(*change).size() * 20, to_json_text(second).size());
}

TEST(range_table_change, unknown_revision_has_no_change)
{
    range_table_history history;
    const range_table table = make_range_table(make_owners(3));
    record_revision(history, {}, table, 7);
    EXPECT_FALSE(change_since(history, table, 6));
    EXPECT_FALSE(change_since(history, table, 8));
    ASSERT_TRUE(change_since(history, table, 7));
    EXPECT_TRUE(change_since(history, table, 7)->m_entries.empty());
}

// Guards against a table with gaps or overlaps after a change that was made for another table.
TEST(range_table_change, change_for_another_table_is_rejected)
{
    const range_table table = make_range_table(make_owners(3));
    const range_table other = make_range_table(make_owners(7));
    range_table_change change;
    change.m_next_fencing_token = 99;
    change.m_entries = {other.m_entries[2]};
    EXPECT_FALSE(apply_change(table, change));
    change.m_entries = {table.m_entries[1]};
    change.m_entries[0].m_to -= 1;
    EXPECT_FALSE(apply_change(table, change));
    EXPECT_FALSE(parse_range_table_change("[]"));
    EXPECT_FALSE(parse_range_table_change(R"({"next_fence":1,"ranges":[[1]]})"));
}

} // namespace azureladder::key_ranges
