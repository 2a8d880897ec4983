#include <azureladder/key_ranges/key_load.hpp>
#include <azureladder/key_ranges/lease_rules.hpp>
#include <azureladder/key_ranges/range_table.hpp>
#include <azureladder/key_ranges/range_table_json.hpp>

#include <gtest/gtest.h>

#include <random>

namespace azureladder::key_ranges {

namespace {

range_table three_owners()
{
    return make_range_table({{"a", "a#1"}, {"b", "b#1"}, {"c", "c#1"}});
}

std::uint64_t highest_fence(const range_table& table)
{
    std::uint64_t highest = 0;
    for (const auto& entry : table.m_entries)
        highest = std::max(highest, entry.m_fencing_token);
    return highest;
}

} // namespace

TEST(range_table, divides_all_keys)
{
    const range_table table = three_owners();
    EXPECT_TRUE(is_consistent(table));
    EXPECT_EQ(find_range(table, 0)->m_owner, "a");
    EXPECT_EQ(find_range(table, max_key)->m_owner, "c");
}

// Guards against keys with no owner or two owners, and against reused fencing tokens, after random
// sequences of changes.
TEST(range_table, stays_consistent_through_any_changes)
{
    std::mt19937 random(5);
    range_table table = three_owners();
    const std::string names[] = {"a", "b", "c", "d"};
    for (int i = 0; i < 5000; ++i) {
        const std::uint64_t fence = table.m_next_fencing_token;
        const range_table before = table;
        const std::string& node = names[random() % 4];
        switch (random() % 6) {
        case 0: {
            const auto& entry = table.m_entries[random() % table.m_entries.size()];
            const std::uint32_t width = entry.m_to - entry.m_from + 1;
            const std::uint32_t from = entry.m_from + random() % width;
            const std::uint32_t to = from + random() % (entry.m_to - from + 1);
            transfer_keys(table, from, to, {node, node + "#1"}, "proof");
            EXPECT_EQ(highest_fence(table), fence);
            break;
        }
        case 1:
            take_over_ranges(table, node, {names[random() % 4], "x#1"});
            break;
        case 2:
            revert_takeovers(table, {node, node + "#1"});
            break;
        case 3: {
            std::set<std::uint64_t> fences;
            for (const auto& entry : table.m_entries)
                fences.insert(entry.m_fencing_token);
            finish_takeovers(table, node, fences);
            break;
        }
        case 4:
            bind_incarnation(table, {node, node + "#" + std::to_string(random() % 3)});
            break;
        default:
            merge_adjacent_ranges(table, node, 10);
        }
        ASSERT_TRUE(is_consistent(table));
        ASSERT_EQ(parse_range_table(to_json_text(table))->m_entries, table.m_entries);
        for (const auto& entry : table.m_entries) {
            const auto* previous = find_range(before, entry.m_from);
            // A change of owner requires a new fencing token.
            if (previous->m_owner != entry.m_owner) {
                ASSERT_GE(entry.m_fencing_token, fence);
            }
        }
    }
}

// Guards against making an owner wait that reconnects during the takeover of its ranges: until a
// takeover is finished no other server holds a lease on them, so the owner may resume at once.
TEST(range_table, previous_owner_gets_back_unfinished_takeovers)
{
    range_table table = three_owners();
    take_over_ranges(table, "a", {"b", "b#1"});
    EXPECT_EQ(find_range(table, 0)->m_state, range_state::taking_over);
    take_over_ranges(table, "b", {"c", "c#1"});
    EXPECT_EQ(find_range(table, 0)->m_previous_owner, "a");
    revert_takeovers(table, {"a", "a#1"});
    EXPECT_EQ(find_range(table, 0)->m_owner, "a");
    EXPECT_EQ(find_range(table, 0)->m_state, range_state::active);
    const std::uint64_t fence = find_range(table, max_key / 2)->m_fencing_token;
    finish_takeovers(table, "c", {fence + 1});
    EXPECT_EQ(find_range(table, max_key / 2)->m_state, range_state::taking_over);
    finish_takeovers(table, "c", {fence});
    revert_takeovers(table, {"b", "b#1"});
    EXPECT_EQ(find_range(table, max_key / 2)->m_owner, "c");
}

// Guards against a restarted backend server that gets keys with the fencing token of its previous
// incarnation.
TEST(range_table, new_incarnation_gets_a_higher_token)
{
    range_table table = three_owners();
    const std::uint64_t fence = find_range(table, 0)->m_fencing_token;
    bind_incarnation(table, {"a", "a#1"});
    EXPECT_EQ(find_range(table, 0)->m_fencing_token, fence);
    bind_incarnation(table, {"a", "a#2"});
    EXPECT_GT(find_range(table, 0)->m_fencing_token, highest_fence(three_owners()));
}

TEST(range_table, malformed_texts_are_rejected)
{
    EXPECT_FALSE(parse_range_table("not json"));
    EXPECT_FALSE(parse_range_table("{}"));
    const auto text = [](const std::string& next, const std::string& owners,
                         const std::string& ranges) {
        return R"({"next_fence":)" + next + R"(,"owners":)" + owners + R"(,"ranges":)" + ranges +
               "}";
    };
    const std::string owners = R"([["a",""]])";
    EXPECT_TRUE(parse_range_table(text("2", owners, "[[0,65535,0,1]]")));
    EXPECT_TRUE(parse_range_table(text("2", owners, R"([[0,65535,0,1,"settled","",""]])")));
    EXPECT_FALSE(parse_range_table(text("2", owners, "[[0,5,0,1]]")));
    EXPECT_FALSE(parse_range_table(text("2", owners, R"([[0,65535,0,1,"odd","",""]])")));
    EXPECT_FALSE(parse_range_table(text("1", owners, "[[0,65535,0,1]]")));
    EXPECT_FALSE(parse_range_table(text("2", owners, "[[0,65535,1,1]]")));
    EXPECT_FALSE(parse_range_table(text("2", owners, R"([[0,65535,"a",1]])")));
    EXPECT_FALSE(parse_range_table(text("2", owners, R"([[0,65535,0,1,"settled"]])")));
    EXPECT_FALSE(parse_range_table(text("2", R"([["a"]])", "[[0,65535,0,1]]")));
    EXPECT_FALSE(parse_range_table(text("2", R"([[1,2]])", "[[0,65535,0,1]]")));
    EXPECT_FALSE(parse_range_table(text("2", "{}", "[[0,65535,0,1]]")));
}

// Guards against two lease holders at the same time: the last lease that a lost owner may renew has
// to expire before the new owner's first grant.
TEST(lease_rules, takeover_waits_for_the_last_possible_lease)
{
    const key_lease_options options;
    const time_point takeover_started_at{std::chrono::seconds(50)};
    // Worst case: the owner confirms its table when the takeover starts and renews as late as it
    // may.
    time_point last_renewal = takeover_started_at;
    while (may_renew_lease(takeover_started_at, last_renewal + milliseconds(1), options))
        last_renewal += milliseconds(1);
    const auto slow_lease = options.m_lease_duration * 102 / 100;
    EXPECT_GT(takeover_time(takeover_started_at, options), last_renewal + slow_lease);
    EXPECT_FALSE(may_renew_lease(time_point{}, takeover_started_at, options));
}

// Guards against moving a wide range when a few hot keys cause most of its load.
TEST(key_load, finds_the_narrow_hot_subrange)
{
    key_load load;
    for (std::uint32_t key = 1000; key < 2000; ++key)
        record_key_request(load, key);
    for (int i = 0; i < 500; ++i)
        record_key_request(load, 1500 + i % 5);
    const auto part = find_narrowest_subrange(load, 1000, 1999, 400.0, 700.0);
    ASSERT_TRUE(part);
    EXPECT_LE(part->m_to - part->m_from, 4U);
    EXPECT_GE(part->m_from, 1500U);
    EXPECT_FALSE(find_narrowest_subrange(load, 0, 999, 1.0, 700.0));
}

} // namespace azureladder::key_ranges
