#pragma once

#include <azureladder/http/cancel_token.hpp>
#include <azureladder/http/server.hpp>
#include <azureladder/http/server_options.hpp>

#include <condition_variable>
#include <mutex>

namespace azureladder::http {

/// State that the server shares with its responders.
class server_state
{
public:
    server_state(server_options options, handler handle)
        : m_options(std::move(options)), m_handler(std::move(handle))
    {
    }

    /// Counts a request as running. Returns false when new requests are rejected.
    bool try_begin_request();

    /// Ends a request that `try_begin_request()` counted.
    void end_request();

    /// Makes `try_begin_request()` return false from now on.
    void reject_requests();

    /// Rejects new requests and those whose body is incomplete, and waits until none is running.
    void drain();

    /// Descriptor that becomes readable when `drain()` is called.
    int drain_descriptor() const { return m_drain_signal.descriptor(); }

    const server_options m_options;
    const handler m_handler;

private:
    cancel_token m_drain_signal;
    std::mutex m_mutex;
    std::condition_variable m_all_requests_ended;
    bool m_rejecting = false;
    unsigned m_running_requests = 0;
};

} // namespace azureladder::http
