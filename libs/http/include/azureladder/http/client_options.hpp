#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/http/cancel_token.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace azureladder::http {

/// Options of `client`.
struct client_options
{
    /// Maximum number of open connections, active and idle. Further calls wait for one.
    std::size_t m_max_connections = 64;

    /// Maximum number of idle connections in the pool.
    std::size_t m_max_idle_connections = 16;

    /// Time after which an idle connection is closed.
    milliseconds m_idle_timeout{5'000};

    /// Maximum time to establish a connection; the timeout of the exchange also applies.
    milliseconds m_connect_timeout{2'000};

    /// Maximum size of a response header.
    std::size_t m_max_header_bytes = std::size_t(64) * 1024;

    /// Maximum size of a response body.
    std::size_t m_max_body_bytes = std::size_t(8) * 1024 * 1024;
};

/// Whether an exchange may use a pooled connection.
enum class connection_use
{
    /// Opens a new connection and closes it afterwards. For requests that must not be executed
    /// twice.
    fresh,
    /// Uses a reusable idle connection of the pool if there is one, otherwise a new one.
    pooled
};

/// Options of one exchange.
struct execute_options
{
    /// Maximum time of the exchange, from the wait for a connection to the end of the response.
    milliseconds m_timeout{10'000};
    connection_use m_connection = connection_use::pooled;

    /// Called directly before the first byte is written. When it returns false, the exchange ends
    /// with `not_sent`.
    std::function<bool()> m_before_send;
    std::shared_ptr<cancel_token> m_cancel_token;
};

} // namespace azureladder::http
