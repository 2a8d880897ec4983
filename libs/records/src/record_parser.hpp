#pragma once

#include <azureladder/base/object_reader.hpp>
#include <azureladder/records/administrative_state.hpp>
#include <azureladder/records/key_policy_record.hpp>
#include <azureladder/records/service_record.hpp>

#include <string>
#include <variant>
#include <vector>

/// Parsers of single records. Both schema versions parse to the same structs.
namespace azureladder::records {

enum class record_kind
{
    service,
    key_policy,
    zone,
    server
};

inline constexpr enum_name<record_kind> record_kind_names[] = {
    {record_kind::service, "service"},
    {record_kind::key_policy, "key_policy"},
    {record_kind::zone, "zone"},
    {record_kind::server, "server"},
};

/// Record of kind zone or server.
struct state_record
{
    administrative_state m_state = administrative_state::in;

    /// Reason given by the operator; only in schema version 2.
    std::string m_reason;
};

/// One record of any kind.
struct parsed_record
{
    record_kind m_kind = record_kind::service;
    int m_schema_version = 1;
    std::string m_name;
    std::variant<service_record, key_policy_record, state_record> m_content;
};

inline constexpr std::int64_t max_slices = 65536;
inline constexpr std::int64_t max_timeout_ms = 600000;
inline constexpr std::int64_t max_execution_limit_ms = 60000;

/// Maximum length of a key, and so of the prefix of a key group.
inline constexpr std::size_t max_key_bytes = 512;
inline constexpr std::size_t max_reason_bytes = 512;

/// Syntax of the names of records, zones and servers: [a-z0-9._-]{1,64}, not starting with '_',
/// except "." and "..".
const string_constraint& name_rule();

/// Syntax of the name of a key group, or an empty text for the keys outside all groups.
const string_constraint& group_rule();

/// Returns "kind/name", the key of a record in a document.
std::string record_key(record_kind kind, const std::string& name);

/// Parses one record. Adds what is invalid to `errors`; the returned record is then incomplete.
parsed_record parse_record(const json& record, const std::string& path,
                           std::vector<field_error>& errors);

service_record parse_service_v1(object_reader& reader);
service_record parse_service_v2(object_reader& reader);
key_policy_record parse_key_policy_v1(object_reader& reader);
key_policy_record parse_key_policy_v2(object_reader& reader);
state_record parse_state_v1(object_reader& reader);
state_record parse_state_v2(object_reader& reader);

/// Returns the path of a service field in `schema_version`, for example "placement.slices" for
/// "slices" in schema version 2.
std::string field_path(int schema_version, const std::string& field);

} // namespace azureladder::records
