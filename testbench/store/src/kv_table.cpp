#include <azureladder/store_double/kv_table.hpp>

namespace azureladder::store_double {

std::optional<kv_entry> kv_table::get(const std::string& key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return std::nullopt;
    return found->second;
}

put_outcome kv_table::put(const std::string& key, const std::string& value, std::uint64_t expected)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(key);
    const auto current = found == m_entries.end() ? 0 : found->second.m_version;
    if (current != expected)
        return {false, current};
    m_entries[key] = {value, current + 1};
    m_changed.notify_all();
    return {true, current + 1};
}

std::optional<kv_entry> kv_table::wait_for_newer(const std::string& key, std::uint64_t after,
                                                 milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    const auto newer = [&] {
        const auto found = m_entries.find(key);
        return found != m_entries.end() && found->second.m_version > after;
    };
    m_changed.wait_for(lock, limit, [&] { return m_waits_cancelled || newer(); });
    if (!newer())
        return std::nullopt;
    return m_entries[key];
}

void kv_table::cancel_waits()
{
    const std::lock_guard lock(m_mutex);
    m_waits_cancelled = true;
    m_changed.notify_all();
}

} // namespace azureladder::store_double
