#include <azureladder/store_double/call_counts.hpp>

namespace azureladder::store_double {

void call_counts::count(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts[name];
}

json call_counts::to_json() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

} // namespace azureladder::store_double
