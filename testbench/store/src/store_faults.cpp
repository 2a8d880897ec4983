#include <azureladder/store_double/store_faults.hpp>

#include <algorithm>

namespace azureladder::store_double {

namespace {

constexpr const char* number_fields[] = {"delay_ms", "jitter_ms", "lose_next_write_answers",
                                         "max_writes_per_s", "max_reads_per_s"};

bool is_valid(const json& settings)
{
    for (const auto& item : settings.items()) {
        const bool is_number_field = std::find(std::begin(number_fields), std::end(number_fields),
                                               item.key()) != std::end(number_fields);
        const bool valid = is_number_field ? item.value().is_number_unsigned()
                                           : item.key() == "down" && item.value().is_boolean();
        if (!valid)
            return false;
    }
    return settings.is_object();
}

} // namespace

bool store_faults::apply(const json& settings)
{
    if (!is_valid(settings))
        return false;
    const std::lock_guard lock(m_mutex);
    m_down = settings.value("down", m_down);
    m_delay_ms = settings.value("delay_ms", m_delay_ms);
    m_jitter_ms = settings.value("jitter_ms", m_jitter_ms);
    m_answers_to_lose = settings.value("lose_next_write_answers", m_answers_to_lose);
    m_writes.m_limit = settings.value("max_writes_per_s", m_writes.m_limit);
    m_reads.m_limit = settings.value("max_reads_per_s", m_reads.m_limit);
    return true;
}

bool store_faults::down() const
{
    const std::lock_guard lock(m_mutex);
    return m_down;
}

milliseconds store_faults::next_delay()
{
    const std::lock_guard lock(m_mutex);
    const auto jitter = m_jitter_ms == 0 ? 0 : m_random() % (m_jitter_ms + 1);
    return milliseconds(m_delay_ms + jitter);
}

bool store_faults::admit(call_kind kind)
{
    if (kind == call_kind::other)
        return true;
    const std::lock_guard lock(m_mutex);
    auto& window = kind == call_kind::read ? m_reads : m_writes;
    if (window.m_limit == 0)
        return true;
    const auto now = m_clock.now();
    while (!window.m_calls.empty() && window.m_calls.front() + seconds(1) <= now)
        window.m_calls.pop_front();
    if (window.m_calls.size() >= window.m_limit)
        return false;
    window.m_calls.push_back(now);
    return true;
}

bool store_faults::consume_lost_answer()
{
    const std::lock_guard lock(m_mutex);
    if (m_answers_to_lose == 0)
        return false;
    --m_answers_to_lose;
    return true;
}

} // namespace azureladder::store_double
