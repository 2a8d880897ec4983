#include <azureladder/platform/memory_store.hpp>

namespace azureladder::platform {

namespace {

store_error unavailable_error()
{
    return {store_error_kind::unavailable, 0, "the store is unavailable"};
}

} // namespace

result<std::optional<versioned_value>, store_error> memory_store::read(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.m_reads;
    if (m_has_outage)
        return unavailable_error();
    const auto found = m_values.find(key);
    if (found == m_values.end())
        return std::optional<versioned_value>();
    return std::optional<versioned_value>(found->second);
}

result<conditional_read_result, store_error> memory_store::read_if_changed(const std::string& key,
                                                                           version known_version)
{
    auto outcome = read(key);
    if (!outcome)
        return outcome.error();
    auto& value = outcome.value();
    if (value && value->m_version == known_version)
        return conditional_read_result{true, std::nullopt};
    return conditional_read_result{false, std::move(value)};
}

result<version, store_error> memory_store::write(const std::string& key, const std::string& value,
                                                 version expected_version)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.m_writes;
    if (m_has_outage)
        return unavailable_error();
    if (value.size() > max_value_bytes)
        return store_error{store_error_kind::too_large, 0,
                           "the value exceeds the size limit of the store"};
    const auto found = m_values.find(key);
    const version current = found == m_values.end() ? 0 : found->second.m_version;
    const bool matches = current == expected_version;
    if (matches)
        m_values[key] = {value, current + 1};
    if (m_responses_to_lose > 0) {
        --m_responses_to_lose;
        return store_error{store_error_kind::unknown, 0, "the response was lost"};
    }
    if (!matches)
        return store_error{store_error_kind::conflict, current,
                           "the key does not have the expected version"};
    return current + 1;
}

void memory_store::set_outage(bool is_active)
{
    const std::lock_guard lock(m_mutex);
    m_has_outage = is_active;
}

void memory_store::lose_next_responses(unsigned count)
{
    const std::lock_guard lock(m_mutex);
    m_responses_to_lose = count;
}

store_call_counts memory_store::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

} // namespace azureladder::platform
