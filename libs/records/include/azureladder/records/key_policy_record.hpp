#pragma once

#include <string>
#include <vector>

namespace azureladder::records {

/// Restricts which backend servers may own the keys of one slice space. An empty list allows all.
struct key_policy_record
{
    std::string m_name;
    std::string m_service;

    /// Key group of the service; empty selects the keys outside all groups.
    std::string m_group;

    /// Backend servers and availability zones that may own the keys.
    std::vector<std::string> m_servers;
    std::vector<std::string> m_zones;
};

} // namespace azureladder::records
