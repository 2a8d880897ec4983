#include "connection_pool.hpp"

#include <algorithm>

namespace azureladder::http {

namespace {

// A waiting call notices its cancellation after at most this time.
constexpr milliseconds cancel_check_interval{20};

} // namespace

bool connection_pool::acquire_slot(time_point deadline, const cancel_token* cancel)
{
    std::unique_lock lock(m_mutex);
    while (m_in_use >= m_options.m_max_connections) {
        if (io_now() >= deadline || (cancel != nullptr && cancel->cancelled()))
            return false;
        m_released.wait_for(lock, cancel_check_interval);
    }
    ++m_in_use;
    return true;
}

void connection_pool::release_slot()
{
    {
        const std::lock_guard lock(m_mutex);
        --m_in_use;
    }
    m_released.notify_one();
}

std::unique_ptr<connection> connection_pool::take_idle()
{
    const auto expired = remove_expired();
    const std::lock_guard lock(m_mutex);
    while (!m_idle.empty()) {
        auto candidate = std::move(m_idle.back());
        m_idle.pop_back();
        if (candidate->is_quiet())
            return candidate;
    }
    return nullptr;
}

void connection_pool::make_room()
{
    const std::lock_guard lock(m_mutex);
    while (!m_idle.empty() && m_in_use + m_idle.size() > m_options.m_max_connections)
        m_idle.erase(m_idle.begin());
}

void connection_pool::give_back(std::unique_ptr<connection> used)
{
    used->m_idle_since = io_now();
    const auto expired = remove_expired();
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < m_options.m_max_pooled)
        m_idle.push_back(std::move(used));
}

std::vector<std::unique_ptr<connection>> connection_pool::remove_expired()
{
    const std::lock_guard lock(m_mutex);
    const auto oldest_kept = io_now() - m_options.m_pool_idle;
    const auto is_kept = [oldest_kept](const std::unique_ptr<connection>& idle) {
        return idle->m_idle_since >= oldest_kept;
    };
    const auto first_kept = std::find_if(m_idle.begin(), m_idle.end(), is_kept);
    std::vector<std::unique_ptr<connection>> expired;
    std::move(m_idle.begin(), first_kept, std::back_inserter(expired));
    m_idle.erase(m_idle.begin(), first_kept);
    return expired;
}

} // namespace azureladder::http
