#include <azureladder/records/document.hpp>

#include <algorithm>

/// Lookups in a document: the slice space of a key and the backend servers that may own it.
namespace azureladder::records {

namespace {

bool allows(const std::vector<std::string>& list, const std::string& item)
{
    return list.empty() || std::find(list.begin(), list.end(), item) != list.end();
}

bool in_service(const std::map<std::string, administrative_state>& states, const std::string& name)
{
    const auto found = states.find(name);
    return found == states.end() || found->second == administrative_state::in;
}

std::string space_name(const service_record& service, const key_group& group)
{
    return service.m_name + "/" + group.m_name;
}

bool policy_allows(const document& value, const std::string& space, const std::string& service,
                   const std::string& server, const std::string& zone)
{
    const std::string group = space == service ? "" : space.substr(service.size() + 1);
    for (const auto& [name, policy] : value.m_key_policies) {
        if (policy.m_service == service && policy.m_group == group)
            return allows(policy.m_servers, server) && allows(policy.m_zones, zone);
    }
    return true;
}

} // namespace

const service_record* find_service(const document& value, const std::string& name)
{
    const auto found = value.m_services.find(name);
    return found == value.m_services.end() ? nullptr : &found->second;
}

bool zone_in_service(const document& value, const std::string& zone)
{
    return in_service(value.m_zones, zone);
}

bool server_in_service(const document& value, const std::string& server)
{
    return in_service(value.m_servers, server);
}

std::string slice_space_of_key(const service_record& service, const std::string& key)
{
    const key_group* longest = nullptr;
    for (const auto& group : service.m_key_groups) {
        const bool matches = key.compare(0, group.m_prefix.size(), group.m_prefix) == 0;
        if (matches && (!longest || group.m_prefix.size() > longest->m_prefix.size()))
            longest = &group;
    }
    return longest ? space_name(service, *longest) : service.m_name;
}

std::vector<std::string> slice_spaces_of_service(const service_record& service)
{
    std::vector<std::string> spaces;
    if (!service.m_divided_by_key)
        return spaces;
    spaces.push_back(service.m_name);
    for (const auto& group : service.m_key_groups)
        spaces.push_back(space_name(service, group));
    return spaces;
}

bool is_eligible_owner(const document& value, const std::string& space, const std::string& service,
                       const std::string& server, const std::string& zone)
{
    if (!zone_in_service(value, zone) || !server_in_service(value, server))
        return false;
    // Any node may own claim slices, whichever service its backend server runs.
    if (space == claim_space)
        return true;
    const service_record* record = find_service(value, service);
    if (record == nullptr || !allows(record->m_zones, zone))
        return false;
    const auto spaces = slice_spaces_of_service(*record);
    if (std::find(spaces.begin(), spaces.end(), space) == spaces.end())
        return false;
    return policy_allows(value, space, service, server, zone);
}

} // namespace azureladder::records
