#pragma once

#include "connection.hpp"

#include <azureladder/http/client_options.hpp>

#include <condition_variable>
#include <mutex>
#include <vector>

namespace azureladder::http {

/// Limits the number of connections of a client and keeps idle ones for reuse.
class connection_pool
{
public:
    explicit connection_pool(const client_options& options) : m_options(options) {}

    /// Reserves a slot for one connection, and waits while all are in use. Returns false at the
    /// deadline or on cancellation.
    bool acquire_slot(time_point deadline, const cancel_token* cancel);

    /// Releases a slot that `acquire_slot()` reserved.
    void release_slot();

    /// Removes and returns a reusable idle connection, or null.
    std::unique_ptr<connection> take_idle();

    /// Closes the oldest idle connections until idle connections and reserved slots together are
    /// within the limit.
    void evict_excess_idle();

    /// Stores `used` for another exchange, or closes it when the pool is full.
    void return_connection(std::unique_ptr<connection> used);

private:
    /// Removes the connections that were idle longer than the idle timeout. The caller destroys,
    /// and so closes, them without holding the lock.
    std::vector<std::unique_ptr<connection>> remove_expired();

    const client_options& m_options;
    std::mutex m_mutex;
    std::condition_variable m_slot_released;
    std::size_t m_in_use = 0;
    std::vector<std::unique_ptr<connection>> m_idle_connections;
};

} // namespace azureladder::http
