#include "server_state.hpp"

namespace azureladder::http {

bool server_state::try_begin_request()
{
    const std::lock_guard lock(m_mutex);
    if (m_rejecting)
        return false;
    ++m_running_requests;
    return true;
}

void server_state::end_request()
{
    const std::lock_guard lock(m_mutex);
    --m_running_requests;
    if (m_running_requests == 0)
        m_all_requests_ended.notify_all();
}

void server_state::reject_requests()
{
    const std::lock_guard lock(m_mutex);
    m_rejecting = true;
}

void server_state::drain()
{
    reject_requests();
    m_drain_signal.cancel();
    std::unique_lock lock(m_mutex);
    m_all_requests_ended.wait(lock, [this] { return m_running_requests == 0; });
}

} // namespace azureladder::http
