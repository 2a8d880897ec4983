#include <azureladder/store_double/lease_table.hpp>

namespace azureladder::store_double {

std::string lease_table::create(milliseconds ttl)
{
    const std::lock_guard lock(m_mutex);
    remove_expired();
    auto id = "lease-" + std::to_string(m_next_id++);
    m_leases[id] = {ttl, m_clock.now() + ttl};
    return id;
}

bool lease_table::renew(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    remove_expired();
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return false;
    found->second.m_expires = m_clock.now() + found->second.m_ttl;
    return true;
}

bool lease_table::end(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    remove_expired();
    return m_leases.erase(id) > 0;
}

void lease_table::remove_expired()
{
    const auto now = m_clock.now();
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (it->second.m_expires <= now)
            it = m_leases.erase(it);
        else
            ++it;
    }
}

} // namespace azureladder::store_double
