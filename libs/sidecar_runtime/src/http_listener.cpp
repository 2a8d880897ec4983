#include "http_listener.hpp"

namespace azureladder::sidecar_runtime {

namespace {

constexpr int backlog = 512;

/// Limit of open connections at one address. The remaining file descriptors are for peers, the
/// backend server and the store.
constexpr std::size_t max_sessions = 2500;

/// Delay after a failed accept, for example when file descriptors are exhausted.
constexpr std::chrono::milliseconds accept_retry_delay{20};

} // namespace

http_listener::http_listener(asio::io_context& io, const endpoint& address,
                             http_session::callbacks handlers)
    : m_io(io), m_acceptor(io), m_retry_timer(io), m_handlers(std::move(handlers))
{
    const auto on_closed = m_handlers.m_on_closed;
    m_handlers.m_on_closed = [this, on_closed](const http_session& session) {
        --m_sessions;
        if (on_closed)
            on_closed(session);
    };
    const tcp::endpoint tcp_address = to_tcp_endpoint(address);
    m_acceptor.open(tcp_address.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(tcp_address);
    m_acceptor.listen(backlog);
    accept();
}

void http_listener::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (error || m_sessions >= max_sessions) {
            m_retry_timer.expires_after(accept_retry_delay);
            m_retry_timer.async_wait([this](error_code cancelled) {
                if (!cancelled)
                    accept();
            });
            return;
        }
        ++m_sessions;
        std::make_shared<http_session>(std::move(socket), m_handlers)->start();
        accept();
    });
}

} // namespace azureladder::sidecar_runtime
