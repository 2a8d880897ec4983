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
    /// Upper limit of open connections, in use and pooled. Further calls wait for one.
    std::size_t m_max_connections = 64;

    /// Upper limit of pooled connections.
    std::size_t m_max_pooled = 16;

    /// Pooled connections are closed after this time.
    milliseconds m_idle_timeout{5'000};

    /// Longest time to establish a connection, within the timeout of the call.
    milliseconds m_connect_timeout{2'000};

    /// Upper limit of the header of a reply.
    std::size_t m_max_header_bytes = std::size_t(64) * 1024;

    /// Upper limit of the body of a reply.
    std::size_t m_max_body_bytes = std::size_t(8) * 1024 * 1024;
};

/// Connection that an exchange uses.
enum class connection_use
{
    /// Always a new connection, which is closed afterwards. For requests that must not be
    /// executed twice.
    fresh,
    /// A pooled connection when there is one.
    pooled
};

/// Options of one exchange.
struct execute_options
{
    /// Covers the whole exchange, from the wait for a connection to the end of the reply.
    milliseconds m_timeout{10'000};
    connection_use m_connection = connection_use::pooled;

    /// Evaluated directly before the first byte is written; false ends the exchange as `not_sent`.
    std::function<bool()> m_before_send;
    std::shared_ptr<cancel_token> m_cancel;
};

} // namespace azureladder::http
