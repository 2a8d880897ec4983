#include "record_parser.hpp"

namespace azureladder::records {

service_record parse_service_v1(object_reader& reader)
{
    service_record record;
    reader.read_boolean("divided_by_key", record.m_divided_by_key);
    reader.read_integer("slices", 1, max_slices, record.m_slices);
    reader.read_string_list("zones", name_rule(), record.m_zones);
    std::int64_t ms = 0;
    if (reader.read_integer("max_execution_ms", 1, max_execution_limit_ms, ms))
        record.m_max_execution = milliseconds(ms);
    if (reader.read_integer("default_timeout_ms", 1, max_timeout_ms, ms))
        record.m_default_timeout = milliseconds(ms);
    return record;
}

key_policy_record parse_key_policy_v1(object_reader& reader)
{
    key_policy_record record;
    reader.read_string("service", name_rule(), record.m_service, presence::required);
    reader.read_string("group", group_rule(), record.m_group);
    reader.read_string_list("servers", name_rule(), record.m_servers, presence::required);
    return record;
}

state_record parse_state_v1(object_reader& reader)
{
    state_record record;
    reader.read_enum("state", administrative_state_names, record.m_state, presence::required);
    return record;
}

} // namespace azureladder::records
