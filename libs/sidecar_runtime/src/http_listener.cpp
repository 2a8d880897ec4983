#include "http_listener.hpp"

namespace azureladder::sidecar_runtime {

namespace {

constexpr int backlog = 512;

/// Delay after a failed accept, for example when file descriptors are exhausted.
constexpr std::chrono::milliseconds accept_retry_delay{20};

} // namespace

http_listener::http_listener(asio::io_context& io, const endpoint& address,
                             http_session::callbacks handlers, std::size_t max_sessions)
    : m_io(io), m_acceptor(io), m_retry_timer(io), m_handlers(std::move(handlers)),
      m_max_sessions(max_sessions)
{
    const auto on_closed = m_handlers.m_on_closed;
    m_handlers.m_on_closed = [this, on_closed](const http_session& session) {
        // Only sessions of this listener call it, and the set needs their address alone.
        m_sessions.erase(const_cast<http_session*>(&session));
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
        if (error || (m_sessions.size() >= m_max_sessions && !close_worst_session())) {
            accept_later();
            return;
        }
        const auto session = std::make_shared<http_session>(std::move(socket), m_handlers);
        m_sessions.insert(session.get());
        session->start();
        accept();
    });
}

void http_listener::accept_later()
{
    m_retry_timer.expires_after(accept_retry_delay);
    m_retry_timer.async_wait([this](error_code cancelled) {
        if (!cancelled)
            accept();
    });
}

bool http_listener::close_worst_session()
{
    http_session* worst = nullptr;
    std::pair<bool, http_session::session_time> worst_rank;
    for (auto* session : m_sessions) {
        const auto since = session->waiting_since();
        if (!since)
            continue;
        const std::pair rank{session->is_idle_after_response(), *since};
        if (worst == nullptr || rank < worst_rank) {
            worst = session;
            worst_rank = rank;
        }
    }
    if (worst == nullptr)
        return false;
    worst->shared_from_this()->drop("connections");
    return true;
}

} // namespace azureladder::sidecar_runtime
