#include "document_builder.hpp"

#include <set>

/// Differences between records. The comparison uses parsed values, so a record that is rewritten in
/// another schema version differs only in its schema version.
namespace azureladder::records {

namespace {

/// Field values of a record by path, including defaults.
using flat_record = std::map<std::string, json>;

flat_record flatten(const service_record& service)
{
    json groups = json::array();
    for (const auto& group : service.m_key_groups)
        groups.push_back({{"name", group.m_name}, {"prefix", group.m_prefix}});
    flat_record flat = {
        {"placement.divided_by_key", service.m_divided_by_key},
        {"placement.slices", service.m_slices},
        {"placement.key_groups", groups},
        {"placement.zones", service.m_zones},
        {"execution.default_timeout_ms", to_ms(service.m_default_timeout)},
        {"routing.policy", find_enum_name(selection_policy_names, service.m_policy)},
        {"routing.hedging", service.m_hedging},
    };
    if (service.m_max_execution != duration::zero())
        flat["execution.max_execution_ms"] = to_ms(service.m_max_execution);
    return flat;
}

flat_record flatten(const key_policy_record& policy)
{
    flat_record flat = {
        {"service", policy.m_service},
        {"owners.servers", policy.m_servers},
        {"owners.zones", policy.m_zones},
    };
    if (!policy.m_group.empty())
        flat["group"] = policy.m_group;
    return flat;
}

flat_record flatten(const state_record& state)
{
    flat_record flat = {{"state", find_enum_name(administrative_state_names, state.m_state)}};
    if (!state.m_reason.empty())
        flat["reason"] = state.m_reason;
    return flat;
}

flat_record flatten(const parsed_record& record)
{
    auto flat = std::visit([](const auto& content) { return flatten(content); }, record.m_content);
    flat["schema_version"] = record.m_schema_version;
    return flat;
}

json field_or_null(const flat_record& record, const std::string& path)
{
    const auto found = record.find(path);
    return found == record.end() ? json() : found->second;
}

} // namespace

json diff_records(const document& base, const json& records)
{
    json differences = json::array();
    std::vector<field_error> errors;
    const auto parsed = parse_records(records, "records", errors);
    if (!errors.empty())
        return differences;
    for (const auto& record : parsed) {
        const std::string key = record_key(record.m_kind, record.m_name);
        const flat_record to = flatten(record);
        flat_record from;
        const auto old = base.m_records.find(key);
        if (old != base.m_records.end())
            from = flatten(parse_record(old->second, key, errors));
        std::set<std::string> paths;
        for (const auto& flat : {from, to}) {
            for (const auto& [path, field] : flat)
                paths.insert(path);
        }
        for (const auto& path : paths) {
            const json before = field_or_null(from, path);
            const json after = field_or_null(to, path);
            if (before != after)
                differences.push_back(
                    {{"record", key}, {"path", path}, {"from", before}, {"to", after}});
        }
    }
    return differences;
}

} // namespace azureladder::records
