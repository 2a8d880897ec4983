#pragma once

#include <azureladder/http/message.hpp>
#include <azureladder/http/server_options.hpp>

#include <functional>
#include <memory>

namespace azureladder::http {

/// Answers one request. Called on a server thread; allowed to block.
using handler = std::function<response(const request&)>;

/// HTTP/1.1 server. Built on `cxxtools::http::Server` with strict checks in front of the handler;
/// README.md lists them.
class server
{
public:
    server(server_options options, handler handle);

    /// Calls `stop()`.
    ~server();

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Listens and starts the threads. Returns false when the address cannot be bound.
    [[nodiscard]] bool start();

    /// Address that the server listens on, with the port that was selected.
    const endpoint& bound_address() const;

    /// From now on every new request is refused with 503 and its connection is closed.
    /// Requests that already reached the handler finish.
    void stop_accepting();

    /// Waits until all running handlers have returned and their responses are written, then
    /// closes all connections.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace azureladder::http
