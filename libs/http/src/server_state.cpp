#include "server_state.hpp"

namespace azureladder::http {

bool server_state::enter()
{
    const std::lock_guard lock(m_mutex);
    if (m_refusing)
        return false;
    ++m_running;
    return true;
}

void server_state::leave()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
    if (m_running == 0)
        m_idle.notify_all();
}

void server_state::refuse()
{
    const std::lock_guard lock(m_mutex);
    m_refusing = true;
}

void server_state::finish()
{
    refuse();
    m_finishing.cancel();
    std::unique_lock lock(m_mutex);
    m_idle.wait(lock, [this] { return m_running == 0; });
}

} // namespace azureladder::http
