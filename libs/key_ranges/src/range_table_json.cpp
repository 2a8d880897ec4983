#include <azureladder/key_ranges/range_table_json.hpp>

#include <azureladder/base/json.hpp>
#include <azureladder/key_ranges/range_table_change.hpp>

#include <map>
#include <utility>

namespace azureladder::key_ranges {

namespace {

/// Fields of each entry; those behind the first four are left out when all have their default
/// values, and the era also when it alone has.
constexpr std::size_t short_entry_fields = 4;
constexpr std::size_t long_entry_fields = 7;
constexpr std::size_t entry_fields_with_era = 8;

std::optional<range_owner> parse_owner(const json& row)
{
    if (!row.is_array() || row.size() != 2 || !row[0].is_string() || !row[1].is_string())
        return std::nullopt;
    return range_owner{row[0].get<std::string>(), row[1].get<std::string>()};
}

std::optional<range_entry> parse_entry(const json& row, const std::vector<range_owner>& owners)
{
    if (!row.is_array() || (row.size() != short_entry_fields && row.size() != long_entry_fields &&
                            row.size() != entry_fields_with_era))
        return std::nullopt;
    for (std::size_t i = 0; i < short_entry_fields; ++i) {
        if (!row[i].is_number_unsigned())
            return std::nullopt;
    }
    const auto owner = row[2].get<std::size_t>();
    if (owner >= owners.size())
        return std::nullopt;
    range_entry entry;
    entry.m_from = row[0].get<std::uint32_t>();
    entry.m_to = row[1].get<std::uint32_t>();
    entry.m_owner = owners[owner].m_node;
    entry.m_server_incarnation = owners[owner].m_server_incarnation;
    entry.m_fencing_token = row[3].get<std::uint64_t>();
    if (row.size() == short_entry_fields)
        return entry;
    for (std::size_t i = short_entry_fields; i < long_entry_fields; ++i) {
        if (!row[i].is_string())
            return std::nullopt;
    }
    const auto state = find_enum_value(range_state_names, row[4].get_ref<const std::string&>());
    if (!state)
        return std::nullopt;
    entry.m_state = *state;
    entry.m_previous_owner = row[5].get<std::string>();
    entry.m_handover = row[6].get<std::string>();
    if (row.size() == entry_fields_with_era) {
        if (!row[7].is_number_unsigned())
            return std::nullopt;
        entry.m_era = row[7].get<std::uint64_t>();
    }
    return entry;
}

json entry_row(const range_entry& entry, std::size_t owner)
{
    json row = {entry.m_from, entry.m_to, owner, entry.m_fencing_token};
    if (entry.m_state != range_state::active || !entry.m_previous_owner.empty() ||
        !entry.m_handover.empty() || entry.m_era != 0) {
        row.push_back(std::string(find_enum_name(range_state_names, entry.m_state)));
        row.push_back(entry.m_previous_owner);
        row.push_back(entry.m_handover);
        if (entry.m_era != 0)
            row.push_back(entry.m_era);
    }
    return row;
}

std::string entries_text(std::uint64_t next_fencing_token, const std::vector<range_entry>& entries)
{
    std::map<std::pair<std::string_view, std::string_view>, std::size_t> owner_indexes;
    json owners = json::array();
    json rows = json::array();
    for (const auto& entry : entries) {
        const auto [owner, added] = owner_indexes.try_emplace(
            {entry.m_owner, entry.m_server_incarnation}, owner_indexes.size());
        if (added)
            owners.push_back({entry.m_owner, entry.m_server_incarnation});
        rows.push_back(entry_row(entry, owner->second));
    }
    return dump_json({{"next_fence", next_fencing_token}, {"owners", owners}, {"ranges", rows}});
}

/// Parses the fields that tables and changes have in common. Returns false if they are malformed.
bool parse_entries(std::string_view text, std::uint64_t& next_fencing_token,
                   std::vector<range_entry>& entries)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("next_fence") ||
        !document["next_fence"].is_number_unsigned() || !document.contains("owners") ||
        !document["owners"].is_array() || !document.contains("ranges") ||
        !document["ranges"].is_array())
        return false;
    next_fencing_token = document["next_fence"].get<std::uint64_t>();
    std::vector<range_owner> owners;
    for (const auto& row : document["owners"]) {
        auto owner = parse_owner(row);
        if (!owner)
            return false;
        owners.push_back(*std::move(owner));
    }
    for (const auto& row : document["ranges"]) {
        auto entry = parse_entry(row, owners);
        if (!entry)
            return false;
        entries.push_back(*std::move(entry));
    }
    return true;
}

} // namespace

std::string to_json_text(const range_table& table)
{
    return entries_text(table.m_next_fencing_token, table.m_entries);
}

std::string to_json_text(const range_table_change& change)
{
    return entries_text(change.m_next_fencing_token, change.m_entries);
}

std::optional<range_table> parse_range_table(std::string_view text)
{
    range_table table;
    if (!parse_entries(text, table.m_next_fencing_token, table.m_entries) || !is_consistent(table))
        return std::nullopt;
    return table;
}

std::optional<range_table_change> parse_range_table_change(std::string_view text)
{
    range_table_change change;
    if (!parse_entries(text, change.m_next_fencing_token, change.m_entries))
        return std::nullopt;
    return change;
}

} // namespace azureladder::key_ranges
