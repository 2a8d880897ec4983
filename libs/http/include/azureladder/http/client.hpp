#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/result.hpp>
#include <azureladder/http/client_error.hpp>
#include <azureladder/http/client_options.hpp>
#include <azureladder/http/message.hpp>

#include <memory>

namespace azureladder::http {

/// HTTP/1.1 client for one server. Never sends a request twice: a closed pooled connection is
/// replaced only while no byte of the request has been written. Thread-safe.
class client
{
public:
    explicit client(endpoint server, client_options options = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends `message`, with `Host` and `Content-Length` added, and waits for the complete
    /// response.
    result<response, client_error> execute(const request& message,
                                           const execute_options& options = {});

    const endpoint& server_address() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace azureladder::http
