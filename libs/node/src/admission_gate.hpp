#pragma once

#include <azureladder/base/precondition.hpp>

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace azureladder::node {

/// Limits the server threads that wait for responses, in total and per service, so that a slow
/// service leaves threads for the others and for the node's own endpoints. Thread safe.
class admission_gate
{
public:
    admission_gate(std::size_t total_limit, std::size_t service_limit)
        : m_total_limit(total_limit), m_service_limit(service_limit)
    {
        AZURELADDER_PRECONDITION(service_limit > 0 && total_limit >= service_limit,
                                 "the limit of a service must not exceed the total limit");
    }

    /// Returns whether a request of `service` is admitted; each success must be followed by
    /// `leave`.
    bool try_enter(const std::string& service)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        auto& waiting = m_waiting[service];
        if (m_total >= m_total_limit || waiting >= m_service_limit) {
            if (waiting == 0)
                m_waiting.erase(service);
            return false;
        }
        ++waiting;
        ++m_total;
        return true;
    }

    void leave(const std::string& service)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_waiting.find(service);
        AZURELADDER_PRECONDITION(found != m_waiting.end(), "leave needs a successful try_enter");
        --m_total;
        if (--found->second == 0)
            m_waiting.erase(found);
    }

private:
    const std::size_t m_total_limit;
    const std::size_t m_service_limit;
    std::mutex m_mutex;
    std::size_t m_total = 0;
    std::map<std::string, std::size_t> m_waiting;
};

} // namespace azureladder::node
