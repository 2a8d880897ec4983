#include <azureladder/backend_double/fencing_table.hpp>

namespace azureladder::backend_double {

void fencing_table::set_lease(const std::string& incarnation, time_point expires)
{
    const std::lock_guard lock(m_mutex);
    m_incarnation = incarnation;
    m_lease_end = expires;
}

time_point fencing_table::lease_end() const
{
    const std::lock_guard lock(m_mutex);
    return m_lease_end;
}

bool fencing_table::set_grant(const slice_id& slice, std::uint64_t epoch, bool revoked)
{
    const std::lock_guard lock(m_mutex);
    auto& known = m_grants[slice];
    if (epoch < known.m_epoch)
        return false;
    known = {epoch, revoked};
    return true;
}

void fencing_table::revoke(const slice_id& slice)
{
    const std::lock_guard lock(m_mutex);
    m_grants[slice].m_revoked = true;
}

bool fencing_table::is_granted(const slice_id& slice, std::uint64_t epoch) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_grants.find(slice);
    return found != m_grants.end() && found->second.m_epoch == epoch && !found->second.m_revoked;
}

} // namespace azureladder::backend_double
