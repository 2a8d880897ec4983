#pragma once

#include <azureladder/key_ranges/range_table.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureladder::key_ranges {

/// Difference between two revisions of a range table. Its size grows with the ranges that changed,
/// not with all ranges.
struct range_table_change
{
    std::uint64_t m_next_fencing_token = 1;

    /// Entries of the newer table that the older one does not have, in ascending order. They cover
    /// the same keys as the entries that they replace.
    std::vector<range_entry> m_entries;
};

/// Revisions of a table that a node has installed, as far as it can name the changes since them.
struct range_table_history
{
    /// Installed revisions, oldest first.
    std::deque<std::uint64_t> m_revisions;

    /// Revision in which each entry of the newest table was first seen, by first key.
    std::map<std::uint32_t, std::uint64_t> m_revision_of_entry;
};

/// Records that `current` has replaced `previous` with this revision.
void record_revision(range_table_history& history, const range_table& previous,
                     const range_table& current, std::uint64_t revision);

/// Change from revision `since` to `current`, the newest recorded table. Empty when `since` is not
/// among the recorded revisions.
std::optional<range_table_change> change_since(const range_table_history& history,
                                               const range_table& current, std::uint64_t since);

/// Applies a change to the table that it was made for. Empty when the result would be inconsistent,
/// for example because the change was made for another table.
std::optional<range_table> apply_change(const range_table& table, const range_table_change& change);

/// Serializes a change like a table (`to_json_text`).
std::string to_json_text(const range_table_change& change);

/// Empty when the text is malformed.
std::optional<range_table_change> parse_range_table_change(std::string_view text);

} // namespace azureladder::key_ranges
