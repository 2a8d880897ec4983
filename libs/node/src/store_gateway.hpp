#pragma once

#include <azureladder/core/effects.hpp>

#include <boost/asio/thread_pool.hpp>

#include <functional>

namespace azureladder::platform {
class store;
}

namespace azureladder::node {

/// Executes the store effects of the reducer on its own threads.
class store_gateway
{
public:
    /// Called on a thread of the gateway.
    using completion = std::function<void(core::store_finished)>;

    store_gateway(platform::store& store, completion on_finished);
    ~store_gateway();

    store_gateway(const store_gateway&) = delete;
    store_gateway& operator=(const store_gateway&) = delete;

    void read(const core::store_read& effect);
    void write(const core::store_write& effect);

    /// Waits for all store calls in progress.
    void stop();

private:
    platform::store& m_store;
    const completion m_on_finished;
    boost::asio::thread_pool m_threads;
};

} // namespace azureladder::node
