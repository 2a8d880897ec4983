#pragma once

#include "http_session.hpp"

#include <memory>

namespace azureladder::sidecar_runtime {

/// Accepts HTTP connections at one address.
class http_listener
{
public:
    /// Throws boost::system::system_error when the address can't be bound.
    http_listener(asio::io_context& io, const endpoint& address, http_session::callbacks handlers);

private:
    void accept();

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_retry_timer;
    http_session::callbacks m_handlers;
    std::size_t m_sessions = 0;
};

} // namespace azureladder::sidecar_runtime
