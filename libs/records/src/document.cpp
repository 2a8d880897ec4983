#include "document_builder.hpp"

#include <algorithm>

namespace azureladder::records {

namespace {

/// Maximum size of a serialized document. The platform store rejects values above 1 MB.
constexpr std::size_t max_document_bytes = 1000000;

const string_constraint& apply_id_rule()
{
    static const string_constraint rule{
        "an apply id of 1 to 128 visible ASCII characters", [](const std::string& text) {
            constexpr std::size_t max_size = 128;
            return !text.empty() && text.size() <= max_size &&
                   std::all_of(text.begin(), text.end(),
                               [](char c) { return c > 0x20 && c < 0x7f; });
        }};
    return rule;
}

std::map<std::string, std::string> prefixes_by_group(const service_record& service)
{
    std::map<std::string, std::string> groups;
    for (const auto& group : service.m_key_groups)
        groups[group.m_name] = group.m_prefix;
    return groups;
}

/// Rejects a change of fields that determine the slice of a key: nodes with different revisions
/// would place a key in different slices.
void check_immutable_fields(const document& base, const parsed_record& record,
                            const std::string& path, std::vector<field_error>& errors)
{
    if (record.m_kind != record_kind::service)
        return;
    const service_record* old = find_service(base, record.m_name);
    if (old == nullptr)
        return;
    const auto& changed = std::get<service_record>(record.m_content);
    const auto fail = [&](const char* field, const std::string& accepted) {
        errors.push_back({path + "." + field_path(record.m_schema_version, field),
                          "cannot be changed once accepted; expected " + accepted});
    };
    if (changed.m_divided_by_key != old->m_divided_by_key)
        fail("divided_by_key", old->m_divided_by_key ? "true" : "false");
    else if (changed.m_divided_by_key && changed.m_slices != old->m_slices)
        fail("slices", std::to_string(old->m_slices));
    else if (prefixes_by_group(changed) != prefixes_by_group(*old))
        fail("key_groups", json(prefixes_by_group(*old)).dump() + " as {name: prefix}");
}

void read_apply_ids(object_reader& reader, document& value)
{
    reader.read_string_list("apply_ids", apply_id_rule(), value.m_apply_ids);
    if (value.m_apply_ids.size() > document::max_apply_ids)
        reader.fail("apply_ids", "expected at most 256 items");
}

/// Adds parsed records and checks the references in the resulting document.
void add_records(document& value, const std::vector<parsed_record>& parsed, const json& records,
                 bool allow_missing_services, std::vector<field_error>& errors)
{
    record_paths paths;
    for (std::size_t i = 0; i < parsed.size(); ++i) {
        paths[record_key(parsed[i].m_kind, parsed[i].m_name)] =
            "records[" + std::to_string(i) + "]";
        add_record(value, parsed[i], records[i]);
    }
    check_references(value, paths, allow_missing_services, errors);
}

} // namespace

result<document, records_error> parse_document(const std::string& text)
{
    std::vector<field_error> errors;
    const json parsed_text = parse_json_text(text, false, errors);
    if (!errors.empty())
        return first_error(errors);
    document value;
    object_reader reader(parsed_text, "", errors);
    reader.read_integer("revision", 0, INT64_MAX, value.m_revision, presence::required);
    read_apply_ids(reader, value);
    const json* records = reader.read_array("records", presence::required);
    reader.reject_unknown_fields();
    if (!errors.empty())
        return first_error(errors);
    const auto parsed = parse_records(*records, "records", errors);
    if (errors.empty())
        add_records(value, parsed, *records, false, errors);
    if (!errors.empty())
        return first_error(errors);
    return value;
}

std::string serialize_document(const document& value)
{
    json records = json::array();
    for (const auto& [key, record] : value.m_records)
        records.push_back(record);
    const json text = {
        {"revision", value.m_revision}, {"apply_ids", value.m_apply_ids}, {"records", records}};
    return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<records_error> validate_records(const json& records)
{
    std::vector<field_error> errors;
    const auto parsed = parse_records(records, "records", errors);
    if (errors.empty() && parsed.empty())
        errors.push_back({"records", "expected at least one record"});
    document value;
    if (errors.empty())
        add_records(value, parsed, records, true, errors);
    if (errors.empty())
        return std::nullopt;
    return first_error(errors);
}

result<document, records_error> apply_records(const document& base, const json& records,
                                              const std::string& apply_id)
{
    if (auto error = validate_records(records))
        return *error;
    if (!apply_id_rule().m_is_valid(apply_id))
        return records_error{"apply_id", "expected " + apply_id_rule().m_expected};
    if (has_apply_id(base, apply_id))
        return records_error{"apply_id", "a change with this apply id is already in effect"};
    std::vector<field_error> errors;
    const auto parsed = parse_records(records, "records", errors);
    for (std::size_t i = 0; i < parsed.size(); ++i)
        check_immutable_fields(base, parsed[i], "records[" + std::to_string(i) + "]", errors);
    document changed = base;
    add_records(changed, parsed, records, false, errors);
    if (!errors.empty())
        return first_error(errors);
    ++changed.m_revision;
    changed.m_apply_ids.push_back(apply_id);
    if (changed.m_apply_ids.size() > document::max_apply_ids)
        changed.m_apply_ids.erase(changed.m_apply_ids.begin());
    if (serialize_document(changed).size() > max_document_bytes) {
        return records_error{"records", "the configuration document would exceed " +
                                            std::to_string(max_document_bytes) + " bytes"};
    }
    return changed;
}

bool has_apply_id(const document& value, const std::string& apply_id)
{
    return std::find(value.m_apply_ids.begin(), value.m_apply_ids.end(), apply_id) !=
           value.m_apply_ids.end();
}

} // namespace azureladder::records
