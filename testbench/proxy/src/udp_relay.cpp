#include "udp_relay.hpp"

#include <algorithm>

namespace azureladder::proxy {

using boost::system::error_code;

udp_relay::udp_relay(boost::asio::io_context& context, const proxy_settings& settings,
                     const link_settings& link, link_direction& forward, link_direction& backward)
    : m_context(context), m_settings(settings),
      m_listen(boost::asio::ip::make_address(link.m_listen.m_host), link.m_listen.m_port),
      m_target(boost::asio::ip::make_address(link.m_target.m_host), link.m_target.m_port),
      m_forward(forward), m_backward(backward),
      m_to_target(context, forward, settings.m_max_queue_bytes),
      m_to_clients(context, backward, settings.m_max_queue_bytes), m_socket(context)
{
}

udp_relay::~udp_relay()
{
    m_to_target.stop();
    m_to_clients.stop();
}

void udp_relay::open(std::uint16_t port)
{
    if (port != 0)
        m_listen.port(port);
    m_socket.open(m_listen.protocol());
    m_socket.bind(m_listen);
    receive();
}

void udp_relay::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender,
                                [this](const error_code& error, std::size_t size) {
                                    if (error == boost::asio::error::operation_aborted)
                                        return;
                                    if (!error)
                                        relay(size);
                                    receive();
                                });
}

void udp_relay::relay(std::size_t size)
{
    if (m_is_refusing) {
        ++m_forward.m_dropped_units;
        return;
    }
    const auto peer = client_for(m_sender);
    if (!peer)
        return;
    m_to_target.push(m_buffer.data(), size, [peer](const std::string& data) {
        error_code ignored;
        peer->m_socket.send(boost::asio::buffer(data), 0, ignored);
    });
}

udp_relay::client_ptr udp_relay::client_for(const udp::endpoint& address)
{
    auto& known = m_clients[address];
    if (!known) {
        auto added = std::make_shared<client>(m_context);
        error_code error;
        added->m_socket.connect(m_target, error);
        if (error) {
            m_clients.erase(address);
            return nullptr;
        }
        added->m_socket.non_blocking(true);
        added->m_address = address;
        added->m_last_used = clock_type::now();
        known = added;
        receive_from_target(added);
        if (m_clients.size() > m_settings.m_max_sessions)
            remove_least_recently_used();
        return added;
    }
    known->m_last_used = clock_type::now();
    return known;
}

void udp_relay::remove_least_recently_used()
{
    const auto least_recent =
        std::min_element(m_clients.begin(), m_clients.end(), [](const auto& a, const auto& b) {
            return a.second->m_last_used < b.second->m_last_used;
        });
    error_code ignored;
    least_recent->second->m_socket.close(ignored);
    m_clients.erase(least_recent);
}

void udp_relay::receive_from_target(const client_ptr& peer)
{
    peer->m_socket.async_wait(udp::socket::wait_read, [this, peer](const error_code& error) {
        if (error || !peer->m_socket.is_open())
            return;
        error_code failed;
        const auto size = peer->m_socket.receive(boost::asio::buffer(m_answer_buffer), 0, failed);
        if (!failed && !m_is_refusing) {
            m_to_clients.push(m_answer_buffer.data(), size, [this, peer](const std::string& data) {
                error_code ignored;
                m_socket.send_to(boost::asio::buffer(data), peer->m_address, 0, ignored);
            });
        }
        receive_from_target(peer);
    });
}

} // namespace azureladder::proxy
