#include <azureladder/key_ranges/range_table_change.hpp>

#include <algorithm>

namespace azureladder::key_ranges {

namespace {

/// Recorded revisions. A node that is further behind receives the whole table.
constexpr std::size_t max_revisions = 256;

} // namespace

void record_revision(range_table_history& history, const range_table& previous,
                     const range_table& current, std::uint64_t revision)
{
    std::map<std::uint32_t, std::uint64_t> revisions;
    auto former = previous.m_entries.begin();
    for (const auto& entry : current.m_entries) {
        while (former != previous.m_entries.end() && former->m_from < entry.m_from)
            ++former;
        const bool is_known = former != previous.m_entries.end() && *former == entry;
        const auto known = history.m_revision_of_entry.find(entry.m_from);
        revisions.emplace_hint(
            revisions.end(), entry.m_from,
            is_known && known != history.m_revision_of_entry.end() ? known->second : revision);
    }
    history.m_revision_of_entry = std::move(revisions);
    history.m_revisions.push_back(revision);
    if (history.m_revisions.size() > max_revisions)
        history.m_revisions.pop_front();
}

std::optional<range_table_change> change_since(const range_table_history& history,
                                               const range_table& current, std::uint64_t since)
{
    if (std::find(history.m_revisions.begin(), history.m_revisions.end(), since) ==
        history.m_revisions.end())
        return std::nullopt;
    range_table_change change;
    change.m_next_fencing_token = current.m_next_fencing_token;
    for (const auto& entry : current.m_entries) {
        const auto revision = history.m_revision_of_entry.find(entry.m_from);
        if (revision == history.m_revision_of_entry.end() || revision->second > since)
            change.m_entries.push_back(entry);
    }
    return change;
}

std::optional<range_table> apply_change(const range_table& table, const range_table_change& change)
{
    range_table result;
    result.m_next_fencing_token = change.m_next_fencing_token;
    result.m_entries.reserve(table.m_entries.size() + change.m_entries.size());
    auto next = change.m_entries.begin();
    for (const auto& entry : table.m_entries) {
        // Changed entries that begin within this one, or before it.
        bool is_replaced =
            !result.m_entries.empty() && result.m_entries.back().m_to >= entry.m_from;
        while (next != change.m_entries.end() && next->m_from <= entry.m_to) {
            is_replaced = true;
            result.m_entries.push_back(*next++);
        }
        if (!is_replaced)
            result.m_entries.push_back(entry);
    }
    if (next != change.m_entries.end() || !is_consistent(result))
        return std::nullopt;
    return result;
}

} // namespace azureladder::key_ranges
