#include "document_builder.hpp"

#include <algorithm>
#include <set>

namespace azureladder::records {

namespace {

std::string path_of_record(const record_paths& paths, const std::string& key)
{
    const auto found = paths.find(key);
    return found == paths.end() ? key : found->second;
}

bool has_group(const service_record& service, const std::string& group)
{
    return std::any_of(service.m_key_groups.begin(), service.m_key_groups.end(),
                       [&](const key_group& item) { return item.m_name == group; });
}

bool have_common_zone(const std::vector<std::string>& a, const std::vector<std::string>& b)
{
    return std::any_of(a.begin(), a.end(), [&](const std::string& zone) {
        return std::find(b.begin(), b.end(), zone) != b.end();
    });
}

void check_policy_against_service(const key_policy_record& policy, const service_record& service,
                                  const std::string& path, std::vector<field_error>& errors)
{
    if (!service.m_divided_by_key) {
        errors.push_back({path + ".service", "expected a service that is divided by key"});
    } else if (!policy.m_group.empty() && !has_group(service, policy.m_group)) {
        errors.push_back({path + ".group", "service \"" + service.m_name +
                                               "\" has no key group \"" + policy.m_group + "\""});
    } else if (!policy.m_zones.empty() && !service.m_zones.empty() &&
               !have_common_zone(policy.m_zones, service.m_zones)) {
        errors.push_back(
            {path + ".owners.zones", "expected at least one zone of service \"" + service.m_name +
                                         "\", because otherwise no server may own the keys"});
    }
}

} // namespace

std::vector<parsed_record> parse_records(const json& records, const std::string& path,
                                         std::vector<field_error>& errors)
{
    std::vector<parsed_record> parsed;
    if (!records.is_array()) {
        errors.push_back({path, "expected an array of records"});
        return parsed;
    }
    std::set<std::string> seen;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const std::string item_path = path + "[" + std::to_string(i) + "]";
        const std::size_t errors_before = errors.size();
        parsed.push_back(parse_record(records[i], item_path, errors));
        const std::string key = record_key(parsed.back().m_kind, parsed.back().m_name);
        if (errors.size() == errors_before && !seen.insert(key).second)
            errors.push_back({item_path, "record " + key + " occurs twice"});
    }
    return parsed;
}

void add_record(document& value, const parsed_record& record, const json& text)
{
    value.m_records[record_key(record.m_kind, record.m_name)] = text;
    switch (record.m_kind) {
    case record_kind::service:
        value.m_services[record.m_name] = std::get<service_record>(record.m_content);
        break;
    case record_kind::key_policy:
        value.m_key_policies[record.m_name] = std::get<key_policy_record>(record.m_content);
        break;
    case record_kind::zone:
        value.m_zones[record.m_name] = std::get<state_record>(record.m_content).m_state;
        break;
    case record_kind::server:
        value.m_servers[record.m_name] = std::get<state_record>(record.m_content).m_state;
        break;
    }
}

void check_references(const document& value, const record_paths& paths, bool allow_missing_services,
                      std::vector<field_error>& errors)
{
    std::map<std::pair<std::string, std::string>, std::string> policy_of_space;
    for (const auto& [name, policy] : value.m_key_policies) {
        const std::string path = path_of_record(paths, record_key(record_kind::key_policy, name));
        const auto service = value.m_services.find(policy.m_service);
        if (service != value.m_services.end())
            check_policy_against_service(policy, service->second, path, errors);
        else if (!allow_missing_services)
            errors.push_back(
                {path + ".service", "service \"" + policy.m_service + "\" does not exist"});
        const auto [other, added] =
            policy_of_space.emplace(std::pair(policy.m_service, policy.m_group), name);
        if (!added) {
            errors.push_back({path, "key policy \"" + other->second +
                                        "\" already applies to this service and key group"});
        }
    }
}

records_error first_error(const std::vector<field_error>& errors)
{
    return {errors.front().m_path, errors.front().m_message};
}

} // namespace azureladder::records
