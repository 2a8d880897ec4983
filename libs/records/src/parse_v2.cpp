#include "record_parser.hpp"

namespace azureladder::records {

namespace {

const string_constraint& prefix_rule()
{
    static const string_constraint rule{
        "a key prefix of 1 to 512 bytes of UTF-8 without control characters",
        [](const std::string& text) {
            return !text.empty() && is_printable_utf8(text, max_key_bytes);
        }};
    return rule;
}

void check_unique(const std::vector<key_group>& groups, const std::string& path,
                  std::vector<field_error>& errors)
{
    for (std::size_t i = 0; i < groups.size(); ++i) {
        const std::string item = path + "[" + std::to_string(i) + "]";
        for (std::size_t j = 0; j < i; ++j) {
            if (groups[i].m_name == groups[j].m_name)
                errors.push_back({item + ".name", "another key group has this name"});
            if (groups[i].m_prefix == groups[j].m_prefix)
                errors.push_back({item + ".prefix", "another key group has this prefix"});
        }
    }
}

std::vector<key_group> parse_key_groups(const json& array, const std::string& path,
                                        std::vector<field_error>& errors)
{
    std::vector<key_group> groups;
    const std::size_t errors_before = errors.size();
    for (std::size_t i = 0; i < array.size(); ++i) {
        object_reader reader(array[i], path + "[" + std::to_string(i) + "]", errors);
        key_group group;
        reader.read_string("name", name_rule(), group.m_name, presence::required);
        reader.read_string("prefix", prefix_rule(), group.m_prefix, presence::required);
        reader.reject_unknown_fields();
        groups.push_back(group);
    }
    if (errors.size() == errors_before)
        check_unique(groups, path, errors);
    return groups;
}

void parse_placement(object_reader& reader, service_record& record)
{
    reader.read_boolean("divided_by_key", record.m_divided_by_key);
    reader.read_integer("slices", 1, max_slices, record.m_slices);
    reader.read_string_list("zones", name_rule(), record.m_zones);
    if (const json* groups = reader.read_array("key_groups")) {
        record.m_key_groups =
            parse_key_groups(*groups, reader.path_of("key_groups"), reader.errors());
        if (!record.m_key_groups.empty() && !record.m_divided_by_key)
            reader.fail("key_groups", "expected only in a service that is divided by key");
    }
    reader.reject_unknown_fields();
}

void parse_execution(object_reader& reader, service_record& record)
{
    std::int64_t ms = 0;
    if (reader.read_integer("max_execution_ms", 1, max_execution_limit_ms, ms))
        record.m_max_execution = milliseconds(ms);
    if (reader.read_integer("default_timeout_ms", 1, max_timeout_ms, ms))
        record.m_default_timeout = milliseconds(ms);
    reader.reject_unknown_fields();
}

void parse_routing(object_reader& reader, service_record& record)
{
    reader.read_enum("policy", selection_policy_names, record.m_policy);
    reader.read_boolean("hedging", record.m_hedging);
    reader.reject_unknown_fields();
}

const string_constraint& reason_rule()
{
    static const string_constraint rule{
        "a text of at most 512 bytes of UTF-8 without control characters",
        [](const std::string& text) { return is_printable_utf8(text, max_reason_bytes); }};
    return rule;
}

} // namespace

service_record parse_service_v2(object_reader& reader)
{
    service_record record;
    const auto parse_section = [&](const char* name,
                                   void (*parse)(object_reader&, service_record&)) {
        if (const json* section = reader.read_object(name)) {
            object_reader section_reader(*section, reader.path_of(name), reader.errors());
            parse(section_reader, record);
        }
    };
    parse_section("placement", parse_placement);
    parse_section("execution", parse_execution);
    parse_section("routing", parse_routing);
    return record;
}

key_policy_record parse_key_policy_v2(object_reader& reader)
{
    key_policy_record record;
    reader.read_string("service", name_rule(), record.m_service, presence::required);
    reader.read_string("group", group_rule(), record.m_group);
    if (const json* owners = reader.read_object("owners", presence::required)) {
        object_reader owners_reader(*owners, reader.path_of("owners"), reader.errors());
        owners_reader.read_string_list("servers", name_rule(), record.m_servers);
        owners_reader.read_string_list("zones", name_rule(), record.m_zones);
        owners_reader.reject_unknown_fields();
    }
    return record;
}

state_record parse_state_v2(object_reader& reader)
{
    state_record record;
    reader.read_enum("state", administrative_state_names, record.m_state, presence::required);
    reader.read_string("reason", reason_rule(), record.m_reason);
    return record;
}

} // namespace azureladder::records
