#include <azureladder/key_ranges/range_table_recovery.hpp>

#include <algorithm>

namespace azureladder::key_ranges {

namespace {

/// Replaces the parts of `range`'s keys whose present entry may be replaced.
template <class Predicate>
void overlay(range_table& table, const range_entry& range, Predicate may_replace)
{
    std::vector<range_entry> result;
    for (const auto& entry : table.m_entries) {
        const std::uint32_t from = std::max(entry.m_from, range.m_from);
        const std::uint32_t to = std::min(entry.m_to, range.m_to);
        if (from > to || !may_replace(entry)) {
            result.push_back(entry);
            continue;
        }
        if (entry.m_from < from) {
            result.push_back(entry);
            result.back().m_to = from - 1;
        }
        result.push_back(range);
        result.back().m_from = from;
        result.back().m_to = to;
        if (to < entry.m_to) {
            result.push_back(entry);
            result.back().m_from = to + 1;
        }
    }
    table.m_entries = std::move(result);
}

/// Joins adjacent entries that differ in their keys only.
void join_equal_entries(range_table& table)
{
    std::vector<range_entry> result;
    for (const auto& entry : table.m_entries) {
        if (!result.empty()) {
            range_entry joined = result.back();
            joined.m_from = entry.m_from;
            joined.m_to = entry.m_to;
            if (joined == entry) {
                result.back().m_to = entry.m_to;
                continue;
            }
        }
        result.push_back(entry);
    }
    table.m_entries = std::move(result);
}

} // namespace

range_table recover_table(const range_table& stored, const range_table& known,
                          const range_owner& self, const std::vector<range_claim>& claims,
                          std::uint64_t era)
{
    range_table table = stored;
    table.m_next_fencing_token = std::max(
        {stored.m_next_fencing_token, known.m_next_fencing_token, first_fencing_token(era)});
    for (const auto& entry : known.m_entries) {
        overlay(table, entry, [&](const range_entry& present) {
            return present.m_era < era && present.m_fencing_token < entry.m_fencing_token;
        });
    }
    for (const auto& claim : claims) {
        range_entry claimed;
        claimed.m_from = claim.m_from;
        claimed.m_to = claim.m_to;
        claimed.m_owner = self.m_node;
        claimed.m_server_incarnation = self.m_server_incarnation;
        claimed.m_fencing_token = table.m_next_fencing_token;
        claimed.m_era = era;
        const auto former_entries = table.m_entries;
        overlay(table, claimed, [&](const range_entry& present) { return present.m_era < era; });
        if (table.m_entries != former_entries)
            ++table.m_next_fencing_token;
    }
    join_equal_entries(table);
    return table;
}

void confirm_ranges(range_table& table, const range_owner& owner, std::uint64_t era)
{
    for (auto& entry : table.m_entries) {
        if (entry.m_era >= era || entry.m_owner != owner.m_node ||
            entry.m_server_incarnation != owner.m_server_incarnation ||
            entry.m_state != range_state::active)
            continue;
        table.m_next_fencing_token = std::max(table.m_next_fencing_token, first_fencing_token(era));
        entry.m_era = era;
        entry.m_fencing_token = table.m_next_fencing_token++;
    }
}

} // namespace azureladder::key_ranges
