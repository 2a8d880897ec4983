#pragma once

#include "connection.hpp"

#include <azureladder/http/client_options.hpp>

#include <condition_variable>
#include <mutex>
#include <vector>

namespace azureladder::http {

/// Counts the connections of a client and keeps idle ones.
class connection_pool
{
public:
    explicit connection_pool(const client_options& options) : m_options(options) {}

    /// Waits for permission to hold one more connection. False at the deadline or on cancellation.
    bool acquire_slot(time_point deadline, const cancel_token* cancel);

    /// Gives the permission back.
    void release_slot();

    /// An idle connection that is still open, or null.
    std::unique_ptr<connection> take_idle();

    /// Closes the oldest idle connections until one more may be opened.
    void evict_excess_idle();

    /// Keeps `used` for another exchange, or closes it when the pool is full.
    void return_connection(std::unique_ptr<connection> used);

private:
    std::vector<std::unique_ptr<connection>> remove_expired();

    const client_options& m_options;
    std::mutex m_mutex;
    std::condition_variable m_slot_released;
    std::size_t m_in_use = 0;
    std::vector<std::unique_ptr<connection>> m_idle_connections;
};

} // namespace azureladder::http
