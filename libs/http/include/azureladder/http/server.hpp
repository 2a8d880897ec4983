#pragma once

#include <azureladder/http/message.hpp>
#include <azureladder/http/server_options.hpp>

#include <functional>
#include <memory>

namespace azureladder::http {

/// Returns the response to one request. Called on a server thread; may block.
using handler = std::function<response(const request&)>;

/// HTTP/1.1 server based on `cxxtools::http::Server`. Validates each request strictly before it
/// calls the handler; README.md lists the checks.
class server
{
public:
    server(server_options options, handler handle);

    /// Calls `stop()`.
    ~server();

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Binds the listening socket and starts the threads. Returns false when binding fails.
    [[nodiscard]] bool start();

    /// Address that the server listens on, with the selected port when the configured port is 0.
    const endpoint& bound_address() const;

    /// Rejects every new request with 503 and closes its connection; the server keeps listening.
    /// Requests whose handler is running complete.
    void reject_new_requests();

    /// Rejects new requests, waits until all running handlers have returned and their responses
    /// are written, then closes all connections.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace azureladder::http
