#include <azureladder/backend_double/running_requests.hpp>

#include <algorithm>

namespace azureladder::backend_double {

running_requests::handle running_requests::add(const std::string& request_id)
{
    const std::lock_guard lock(m_mutex);
    return m_running.insert(m_running.end(), {request_id, false});
}

execution_end running_requests::run(handle current, const execution_limits& limits)
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        const auto now = m_clock.now();
        if (const auto end = check_end(now, *current, limits)) {
            m_running.erase(current);
            return *end;
        }
        auto next = std::min(limits.m_completion_time, limits.m_deadline);
        if (limits.m_fencing != nullptr)
            next = std::min(next, limits.m_fencing->lease_end());
        m_changed.wait_for(lock, next - now);
    }
}

std::optional<execution_end> running_requests::check_end(time_point now, const running& current,
                                                         const execution_limits& limits) const
{
    // Check the lease first: work finished after the lease ended must not be reported as done.
    if (limits.m_fencing != nullptr && limits.m_fencing->lease_end() <= now)
        return execution_end::lease_expired;
    if (current.m_cancelled)
        return execution_end::cancelled;
    if (limits.m_completion_time <= now && limits.m_completion_time <= limits.m_deadline)
        return execution_end::done;
    if (limits.m_deadline <= now)
        return execution_end::deadline_passed;
    return std::nullopt;
}

bool running_requests::cancel(const std::string& request_id)
{
    const std::lock_guard lock(m_mutex);
    bool found = false;
    for (auto& current : m_running) {
        if (current.m_request_id == request_id) {
            current.m_cancelled = true;
            found = true;
        }
    }
    m_changed.notify_all();
    return found;
}

void running_requests::recheck_leases()
{
    const std::lock_guard lock(m_mutex);
    m_changed.notify_all();
}

} // namespace azureladder::backend_double
