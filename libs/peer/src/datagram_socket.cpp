#include "datagram_socket.hpp"

#include <boost/asio/buffer.hpp>

namespace azureladder::peer {

using boost::asio::ip::udp;

datagram_socket::datagram_socket(boost::asio::io_context& context, receive_handler handler)
    : m_socket(context), m_handler(std::move(handler))
{
}

boost::system::error_code datagram_socket::open(const udp::endpoint& local)
{
    boost::system::error_code error;
    m_socket.open(local.protocol(), error);
    if (!error)
        m_socket.bind(local, error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        close();
    else
        receive();
    return error;
}

bool datagram_socket::send(const endpoint& to, const std::vector<std::uint8_t>& bytes)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(to.m_host, error);
    if (error)
        return false;
    m_socket.send_to(boost::asio::buffer(bytes), udp::endpoint(address, to.m_port), 0, error);
    return !error;
}

void datagram_socket::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void datagram_socket::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender,
                                [self = shared_from_this()](const auto& error, std::size_t size) {
                                    self->received(error, size);
                                });
}

void datagram_socket::received(const boost::system::error_code& error, std::size_t size)
{
    if (!m_socket.is_open())
        return;
    // Other errors are ICMP answers to earlier datagrams and say nothing about this socket.
    if (!error)
        m_handler(m_buffer.data(), size);
    if (m_socket.is_open())
        receive();
}

} // namespace azureladder::peer
