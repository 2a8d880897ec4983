// Link-time stand-in for the records library; to be deleted when that library is merged.
#include <azureladder/records/document.hpp>

namespace azureladder::records {

const service_record* find_service(const document& value, const std::string& name)
{
    const auto found = value.m_services.find(name);
    return found == value.m_services.end() ? nullptr : &found->second;
}

bool zone_in_service(const document& value, const std::string& zone)
{
    const auto found = value.m_zones.find(zone);
    return found == value.m_zones.end() || found->second == service_state::in;
}

bool server_in_service(const document& value, const std::string& server)
{
    const auto found = value.m_servers.find(server);
    return found == value.m_servers.end() || found->second == service_state::in;
}

std::string space_of_key(const service_record& service, const std::string&)
{
    return service.m_name;
}

} // namespace azureladder::records
