#include "connection_pool.hpp"

#include <algorithm>

namespace azureladder::http {

namespace {

// Maximum delay between the cancellation of a waiting call and its return.
constexpr milliseconds cancel_check_interval{20};

} // namespace

bool connection_pool::acquire_slot(time_point deadline, const cancel_token* cancel)
{
    std::unique_lock lock(m_mutex);
    while (m_in_use >= m_options.m_max_connections) {
        if (io_now() >= deadline || (cancel != nullptr && cancel->cancelled()))
            return false;
        m_slot_released.wait_for(lock, cancel_check_interval);
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
    m_slot_released.notify_one();
}

std::unique_ptr<connection> connection_pool::take_idle()
{
    const auto expired = remove_expired();
    const std::lock_guard lock(m_mutex);
    while (!m_idle_connections.empty()) {
        auto candidate = std::move(m_idle_connections.back());
        m_idle_connections.pop_back();
        if (candidate->is_reusable())
            return candidate;
    }
    return nullptr;
}

void connection_pool::evict_excess_idle()
{
    const std::lock_guard lock(m_mutex);
    while (!m_idle_connections.empty() &&
           m_in_use + m_idle_connections.size() > m_options.m_max_connections)
        m_idle_connections.erase(m_idle_connections.begin());
}

void connection_pool::return_connection(std::unique_ptr<connection> used)
{
    used->m_idle_since = io_now();
    const auto expired = remove_expired();
    const std::lock_guard lock(m_mutex);
    if (m_idle_connections.size() < m_options.m_max_idle_connections)
        m_idle_connections.push_back(std::move(used));
}

std::vector<std::unique_ptr<connection>> connection_pool::remove_expired()
{
    const std::lock_guard lock(m_mutex);
    const auto oldest_kept = io_now() - m_options.m_idle_timeout;
    const auto is_kept = [oldest_kept](const std::unique_ptr<connection>& idle) {
        return idle->m_idle_since >= oldest_kept;
    };
    const auto first_kept =
        std::find_if(m_idle_connections.begin(), m_idle_connections.end(), is_kept);
    std::vector<std::unique_ptr<connection>> expired;
    std::move(m_idle_connections.begin(), first_kept, std::back_inserter(expired));
    m_idle_connections.erase(m_idle_connections.begin(), first_kept);
    return expired;
}

} // namespace azureladder::http
