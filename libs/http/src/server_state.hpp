#pragma once

#include <azureladder/http/cancel_token.hpp>
#include <azureladder/http/server.hpp>
#include <azureladder/http/server_options.hpp>

#include <condition_variable>
#include <mutex>

namespace azureladder::http {

/// What the server and its responders share.
class server_state
{
public:
    server_state(server_options options, handler handle)
        : m_options(std::move(options)), m_handler(std::move(handle))
    {
    }

    /// Counts a request as running. False when requests are refused.
    bool enter();

    /// Ends a request that `enter()` has counted.
    void leave();

    /// Refuses all requests from now on.
    void refuse();

    /// Refuses requests whose body is incomplete and waits until no request is running.
    void finish();

    /// Becomes readable in `finish()`.
    int finish_descriptor() const { return m_finishing.descriptor(); }

    const server_options m_options;
    const handler m_handler;

private:
    cancel_token m_finishing;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    bool m_refusing = false;
    unsigned m_running = 0;
};

} // namespace azureladder::http
