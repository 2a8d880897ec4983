#include "record_parser.hpp"

#include <algorithm>

namespace azureladder::records {

namespace {

bool is_name(const std::string& text)
{
    constexpr std::size_t max_name = 64;
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    };
    if (text.empty() || text.size() > max_name || text.front() == '_')
        return false;
    // Names are path segments of URLs and store keys, where "." and ".." are relative references.
    return text != "." && text != ".." && std::all_of(text.begin(), text.end(), allowed);
}

/// Requires `max_execution_ms` for a service that is divided by key: if its backend servers ignore
/// fencing tokens, a new owner waits for the longest execution of a request.
void check_service(const service_record& service, int schema_version, object_reader& reader)
{
    if (service.m_divided_by_key && service.m_max_execution == duration::zero()) {
        reader.fail(field_path(schema_version, "max_execution_ms"),
                    "missing; expected in a service divided by key, because a new owner waits for "
                    "it when backend servers ignore fencing tokens");
    }
}

void parse_content(parsed_record& record, object_reader& reader)
{
    const bool v1 = record.m_schema_version == 1;
    const std::size_t errors_before = reader.errors().size();
    switch (record.m_kind) {
    case record_kind::service: {
        auto service = v1 ? parse_service_v1(reader) : parse_service_v2(reader);
        service.m_name = record.m_name;
        if (reader.errors().size() == errors_before)
            check_service(service, record.m_schema_version, reader);
        record.m_content = std::move(service);
        break;
    }
    case record_kind::key_policy: {
        auto policy = v1 ? parse_key_policy_v1(reader) : parse_key_policy_v2(reader);
        policy.m_name = record.m_name;
        record.m_content = std::move(policy);
        break;
    }
    case record_kind::zone:
    case record_kind::server:
        record.m_content = v1 ? parse_state_v1(reader) : parse_state_v2(reader);
        break;
    }
}

} // namespace

const string_constraint& name_rule()
{
    static const string_constraint rule{
        "a name of 1 to 64 characters from a-z 0-9 . _ - that does not start with _", is_name};
    return rule;
}

const string_constraint& group_rule()
{
    static const string_constraint rule{
        "the name of a key group, or an empty text for the keys outside all groups",
        [](const std::string& text) { return text.empty() || is_name(text); }};
    return rule;
}

std::string record_key(record_kind kind, const std::string& name)
{
    return std::string(find_enum_name(record_kind_names, kind)) + "/" + name;
}

std::string field_path(int schema_version, const std::string& field)
{
    if (schema_version == 1)
        return field;
    if (field == "max_execution_ms" || field == "default_timeout_ms")
        return "execution." + field;
    if (field == "policy" || field == "hedging")
        return "routing." + field;
    return "placement." + field;
}

parsed_record parse_record(const json& record, const std::string& path,
                           std::vector<field_error>& errors)
{
    parsed_record parsed;
    object_reader reader(record, path, errors);
    const bool has_kind =
        reader.read_enum("kind", record_kind_names, parsed.m_kind, presence::required);
    const bool has_version =
        reader.read_integer("schema_version", 1, 2, parsed.m_schema_version, presence::required);
    reader.read_string("name", name_rule(), parsed.m_name, presence::required);
    // The kind and the schema version determine which other fields are valid.
    if (has_kind && has_version) {
        parse_content(parsed, reader);
        reader.reject_unknown_fields();
    }
    return parsed;
}

} // namespace azureladder::records
