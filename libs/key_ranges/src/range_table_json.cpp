#include <azureladder/key_ranges/range_table_json.hpp>

#include <azureladder/base/json.hpp>

namespace azureladder::key_ranges {

namespace {

constexpr std::size_t entry_field_count = 8;

std::optional<range_entry> parse_entry(const json& row)
{
    if (!row.is_array() || row.size() != entry_field_count)
        return std::nullopt;
    for (const std::size_t number : {0, 1, 4}) {
        if (!row[number].is_number_unsigned())
            return std::nullopt;
    }
    for (const std::size_t text : {2, 3, 5, 6, 7}) {
        if (!row[text].is_string())
            return std::nullopt;
    }
    const auto state = find_enum_value(range_state_names, row[5].get_ref<const std::string&>());
    if (!state)
        return std::nullopt;
    range_entry entry;
    entry.m_from = row[0].get<std::uint32_t>();
    entry.m_to = row[1].get<std::uint32_t>();
    entry.m_owner = row[2].get<std::string>();
    entry.m_server_incarnation = row[3].get<std::string>();
    entry.m_fencing_token = row[4].get<std::uint64_t>();
    entry.m_state = *state;
    entry.m_previous_owner = row[6].get<std::string>();
    entry.m_handover = row[7].get<std::string>();
    return entry;
}

} // namespace

std::string to_json_text(const range_table& table)
{
    json rows = json::array();
    for (const auto& entry : table.m_entries) {
        rows.push_back({entry.m_from, entry.m_to, entry.m_owner, entry.m_server_incarnation,
                        entry.m_fencing_token,
                        std::string(find_enum_name(range_state_names, entry.m_state)),
                        entry.m_previous_owner, entry.m_handover});
    }
    return json{{"next_fence", table.m_next_fencing_token}, {"ranges", rows}}.dump();
}

std::optional<range_table> parse_range_table(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("next_fence") ||
        !document["next_fence"].is_number_unsigned() || !document.contains("ranges") ||
        !document["ranges"].is_array())
        return std::nullopt;
    range_table table;
    table.m_next_fencing_token = document["next_fence"].get<std::uint64_t>();
    for (const auto& row : document["ranges"]) {
        const auto entry = parse_entry(row);
        if (!entry)
            return std::nullopt;
        table.m_entries.push_back(*entry);
    }
    if (!is_consistent(table))
        return std::nullopt;
    return table;
}

} // namespace azureladder::key_ranges
