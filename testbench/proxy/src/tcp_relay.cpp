#include "tcp_relay.hpp"

#include "tcp_session.hpp"

namespace azureladder::proxy {

using boost::system::error_code;

tcp_relay::tcp_relay(boost::asio::io_context& context, const proxy_settings& settings,
                     const link_settings& link, link_direction& forward, link_direction& backward)
    : m_context(context), m_settings(settings),
      m_listen(boost::asio::ip::make_address(link.m_listen.m_host), link.m_listen.m_port),
      m_target(boost::asio::ip::make_address(link.m_target.m_host), link.m_target.m_port),
      m_forward(forward), m_backward(backward), m_acceptor(context)
{
}

tcp_relay::~tcp_relay()
{
    refuse();
}

void tcp_relay::open()
{
    if (m_acceptor.is_open())
        return;
    m_acceptor.open(m_listen.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_listen);
    m_acceptor.listen();
    m_port = m_acceptor.local_endpoint().port();
    // The port stays the same when the listener is opened again after a fault.
    m_listen.port(m_port);
    accept();
}

void tcp_relay::refuse()
{
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& session : m_sessions)
        session->reset();
    m_sessions.clear();
}

void tcp_relay::apply_faults()
{
    const auto sessions = m_sessions;
    for (const auto& session : sessions)
        session->apply_faults();
}

void tcp_relay::accept()
{
    m_acceptor.async_accept([this](const error_code& error, tcp::socket client) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error && m_sessions.size() < m_settings.m_max_sessions)
            add(std::move(client));
        accept();
    });
}

void tcp_relay::add(tcp::socket client)
{
    const auto session = std::make_shared<tcp_session>(std::move(client), m_forward, m_backward,
                                                       m_settings.m_max_queue_bytes);
    m_sessions.insert(session);
    session->start(m_target, [this, weak = std::weak_ptr<tcp_session>(session)] {
        m_sessions.erase(weak.lock());
    });
}

} // namespace azureladder::proxy
