#include <azureladder/key_ranges/range_table.hpp>

#include <algorithm>
#include <tuple>

namespace azureladder::key_ranges {

bool operator==(const range_entry& a, const range_entry& b)
{
    const auto fields = [](const range_entry& entry) {
        return std::tie(entry.m_from, entry.m_to, entry.m_owner, entry.m_server_incarnation,
                        entry.m_fencing_token, entry.m_state, entry.m_previous_owner,
                        entry.m_handover, entry.m_era);
    };
    return fields(a) == fields(b);
}

range_table make_range_table(const std::vector<range_owner>& owners)
{
    range_table table;
    const std::uint64_t keys = static_cast<std::uint64_t>(max_key) + 1;
    for (std::size_t i = 0; i < owners.size(); ++i) {
        range_entry entry;
        entry.m_from = static_cast<std::uint32_t>(keys * i / owners.size());
        entry.m_to = static_cast<std::uint32_t>(keys * (i + 1) / owners.size() - 1);
        entry.m_owner = owners[i].m_node;
        entry.m_server_incarnation = owners[i].m_server_incarnation;
        entry.m_fencing_token = table.m_next_fencing_token++;
        table.m_entries.push_back(entry);
    }
    return table;
}

bool is_consistent(const range_table& table)
{
    std::uint32_t next = 0;
    for (const auto& entry : table.m_entries) {
        if (entry.m_from != next || entry.m_to < entry.m_from || entry.m_to > max_key ||
            entry.m_fencing_token >= table.m_next_fencing_token || entry.m_owner.empty())
            return false;
        next = entry.m_to + 1;
    }
    return next == max_key + 1;
}

const range_entry* find_range(const range_table& table, std::uint32_t key)
{
    const auto after = std::upper_bound(
        table.m_entries.begin(), table.m_entries.end(), key,
        [](std::uint32_t value, const auto& entry) { return value < entry.m_from; });
    return after == table.m_entries.begin() ? nullptr : &*std::prev(after);
}

void transfer_keys(range_table& table, std::uint32_t from, std::uint32_t to,
                   const range_owner& owner, const std::string& handover)
{
    const range_entry* found = find_range(table, from);
    if (found == nullptr || to > found->m_to || to < from)
        return;
    const auto place = table.m_entries.begin() + (found - table.m_entries.data());
    const range_entry whole = *place;
    std::vector<range_entry> parts;
    if (whole.m_from < from) {
        parts.push_back(whole);
        parts.back().m_to = from - 1;
    }
    range_entry moved;
    moved.m_from = from;
    moved.m_to = to;
    moved.m_owner = owner.m_node;
    moved.m_server_incarnation = owner.m_server_incarnation;
    moved.m_fencing_token = table.m_next_fencing_token++;
    moved.m_handover = handover;
    moved.m_era = whole.m_era;
    parts.push_back(moved);
    if (to < whole.m_to) {
        parts.push_back(whole);
        parts.back().m_from = to + 1;
    }
    const auto after = table.m_entries.erase(place);
    table.m_entries.insert(after, parts.begin(), parts.end());
}

namespace {

void take_over_entry(range_table& table, range_entry& entry, const range_owner& owner)
{
    if (entry.m_state == range_state::active)
        entry.m_previous_owner = entry.m_owner;
    entry.m_state = range_state::taking_over;
    entry.m_owner = owner.m_node;
    entry.m_server_incarnation = owner.m_server_incarnation;
    entry.m_handover.clear();
    entry.m_fencing_token = table.m_next_fencing_token++;
}

} // namespace

void take_over_ranges(range_table& table, const std::string& lost_owner, const range_owner& owner)
{
    for (auto& entry : table.m_entries) {
        if (entry.m_owner == lost_owner)
            take_over_entry(table, entry, owner);
    }
}

void reassign_takeovers(range_table& table, const std::string& from, const range_owner& owner)
{
    for (auto& entry : table.m_entries) {
        if (entry.m_owner == from && entry.m_state == range_state::taking_over)
            take_over_entry(table, entry, owner);
    }
}

void revert_takeovers(range_table& table, const range_owner& owner)
{
    for (auto& entry : table.m_entries) {
        if (entry.m_state != range_state::taking_over || entry.m_previous_owner != owner.m_node)
            continue;
        entry.m_state = range_state::active;
        entry.m_owner = owner.m_node;
        entry.m_server_incarnation = owner.m_server_incarnation;
        entry.m_previous_owner.clear();
        entry.m_fencing_token = table.m_next_fencing_token++;
    }
}

void finish_takeovers(range_table& table, const std::string& owner,
                      const std::set<std::uint64_t>& fences)
{
    for (auto& entry : table.m_entries) {
        if (entry.m_state != range_state::taking_over || entry.m_owner != owner ||
            fences.count(entry.m_fencing_token) == 0)
            continue;
        entry.m_state = range_state::active;
        entry.m_previous_owner.clear();
    }
}

void bind_incarnation(range_table& table, const range_owner& owner)
{
    for (auto& entry : table.m_entries) {
        if (entry.m_owner != owner.m_node || entry.m_state != range_state::active ||
            entry.m_server_incarnation == owner.m_server_incarnation)
            continue;
        // The first incarnation uses the token of the transfer; later ones need a higher token.
        if (!entry.m_server_incarnation.empty()) {
            entry.m_fencing_token = table.m_next_fencing_token++;
            entry.m_handover.clear();
        }
        entry.m_server_incarnation = owner.m_server_incarnation;
    }
}

void merge_adjacent_ranges(range_table& table, const std::string& owner, std::size_t max_entries)
{
    if (table.m_entries.size() <= max_entries)
        return;
    std::vector<range_entry> merged;
    for (const auto& entry : table.m_entries) {
        const bool joins = !merged.empty() && entry.m_owner == owner &&
                           merged.back().m_owner == owner && entry.m_state == range_state::active &&
                           merged.back().m_state == range_state::active &&
                           !entry.m_server_incarnation.empty() &&
                           merged.back().m_server_incarnation == entry.m_server_incarnation &&
                           merged.back().m_era == entry.m_era;
        if (!joins) {
            merged.push_back(entry);
            continue;
        }
        merged.back().m_to = entry.m_to;
        merged.back().m_fencing_token = table.m_next_fencing_token++;
        merged.back().m_handover.clear();
    }
    table.m_entries = merged;
}

} // namespace azureladder::key_ranges
