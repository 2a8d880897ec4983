#include <azureladder/backend_double/execution_log.hpp>

namespace azureladder::backend_double {

namespace {

// Bounds the memory of a long run; a record takes about 600 bytes.
constexpr std::size_t max_records = 50'000;

} // namespace

void execution_log::append(const json& record)
{
    m_file.write(record);
    const std::lock_guard lock(m_mutex);
    m_records.push_back(record);
    if (m_records.size() > max_records)
        m_records.pop_front();
}

json execution_log::records() const
{
    const std::lock_guard lock(m_mutex);
    return json(m_records);
}

} // namespace azureladder::backend_double
