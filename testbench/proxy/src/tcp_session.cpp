#include "tcp_session.hpp"

namespace azureladder::proxy {

using boost::system::error_code;

tcp_session::tcp_session(tcp::socket client, link_direction& forward, link_direction& backward,
                         std::size_t max_queue_bytes)
    : m_client(std::move(client)), m_server(m_client.get_executor()), m_forward(forward),
      m_backward(backward), m_to_server(m_client, m_server, forward, max_queue_bytes),
      m_to_client(m_server, m_client, backward, max_queue_bytes)
{
}

void tcp_session::start(const tcp::endpoint& target, std::function<void()> on_closed)
{
    m_target = target;
    m_on_closed = std::move(on_closed);
    connect();
}

void tcp_session::connect()
{
    // A cut link carries no handshake; connect when the fault is cleared.
    const bool is_cut = m_forward.m_faults.m_cut || m_backward.m_faults.m_cut;
    if (m_is_connecting || m_is_closed || is_cut)
        return;
    m_is_connecting = true;
    m_server.async_connect(m_target, [this, self = shared_from_this()](const error_code& error) {
        if (m_is_closed)
            return;
        if (error) {
            close();
            return;
        }
        error_code ignored;
        m_server.set_option(tcp::no_delay(true), ignored);
        m_client.set_option(tcp::no_delay(true), ignored);
        m_to_server.start(weak_from_this(),
                          [this](bool is_failed) { finish_direction(m_server, is_failed); });
        m_to_client.start(weak_from_this(),
                          [this](bool is_failed) { finish_direction(m_client, is_failed); });
    });
}

void tcp_session::apply_faults()
{
    const auto self = shared_from_this();
    connect();
    m_to_server.apply_faults();
    m_to_client.apply_faults();
}

void tcp_session::finish_direction(tcp::socket& sink, bool is_failed)
{
    ++m_finished_directions;
    if (is_failed || m_finished_directions == 2) {
        close();
        return;
    }
    error_code ignored;
    sink.shutdown(tcp::socket::shutdown_send, ignored);
}

void tcp_session::close()
{
    if (m_is_closed)
        return;
    const auto self = shared_from_this();
    const bool is_orderly = m_finished_directions == 2;
    if (is_orderly) {
        m_is_closed = true;
        error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
    } else {
        reset();
    }
    m_on_closed();
}

void tcp_session::reset()
{
    m_is_closed = true;
    m_to_server.stop();
    m_to_client.stop();
    for (auto* socket : {&m_client, &m_server}) {
        error_code ignored;
        // With a linger time of zero, closing the socket sends a reset.
        socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

} // namespace azureladder::proxy
