#include <azureladder/platform/memory_store.hpp>

namespace azureladder::platform {

namespace {

store_error unavailable()
{
    return {store_error_kind::unavailable, 0, "the store is unavailable"};
}

} // namespace

result<std::optional<stored_value>, store_error> memory_store::read(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.m_reads;
    if (m_down)
        return unavailable();
    const auto found = m_values.find(key);
    if (found == m_values.end())
        return std::optional<stored_value>();
    return std::optional<stored_value>(found->second);
}

result<conditional_value, store_error> memory_store::read_if_changed(const std::string& key,
                                                                     version known_version)
{
    auto outcome = read(key);
    if (!outcome)
        return outcome.error();
    auto& value = outcome.value();
    if (value && value->m_version == known_version)
        return conditional_value{true, std::nullopt};
    return conditional_value{false, std::move(value)};
}

result<version, store_error> memory_store::write(const std::string& key, const std::string& value,
                                                 version expected_version)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.m_writes;
    if (m_down)
        return unavailable();
    if (value.size() > max_value_bytes)
        return store_error{store_error_kind::too_large, 0,
                           "the value exceeds the size limit of the store"};
    const auto found = m_values.find(key);
    const version current = found == m_values.end() ? 0 : found->second.m_version;
    const bool matches = current == expected_version;
    if (matches)
        m_values[key] = {value, current + 1};
    if (m_answers_to_lose > 0) {
        --m_answers_to_lose;
        return store_error{store_error_kind::unknown, 0, "the response was lost"};
    }
    if (!matches)
        return store_error{store_error_kind::conflict, current,
                           "the key does not have the expected version"};
    return current + 1;
}

void memory_store::set_down(bool down)
{
    const std::lock_guard lock(m_mutex);
    m_down = down;
}

void memory_store::lose_next_answers(unsigned count)
{
    const std::lock_guard lock(m_mutex);
    m_answers_to_lose = count;
}

store_counts memory_store::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

} // namespace azureladder::platform
