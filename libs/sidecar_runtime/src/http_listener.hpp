#pragma once

#include "http_session.hpp"

#include <memory>
#include <set>

namespace azureladder::sidecar_runtime {

/// Accepts HTTP connections at one address.
class http_listener
{
public:
    /// Accepts `max_sessions` connections at most. Beyond them, a new connection takes the place of
    /// the one that waits longest for its client. Throws boost::system::system_error when the
    /// address can't be bound.
    http_listener(asio::io_context& io, const endpoint& address, http_session::callbacks handlers,
                  std::size_t max_sessions = 2500);

private:
    void accept();
    void accept_later();

    /// Closes the connection that waits longest for its client; those that had a response and have
    /// begun no further request come last. Returns false if the node owes all of them a response.
    bool close_worst_session();

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_retry_timer;
    http_session::callbacks m_handlers;
    std::size_t m_max_sessions;
    std::set<http_session*> m_sessions;
};

} // namespace azureladder::sidecar_runtime
