#include "datagram_socket.hpp"

#include <boost/asio/buffer.hpp>

namespace azureladder::peer {

using boost::asio::ip::udp;

namespace {

/// Holds the replies of all nodes of a region to one probe. The kernel may grant less.
constexpr int receive_buffer_bytes = 1'024 * 1'024;

/// Bounds one call of `receive_pending` when datagrams arrive faster than they are handled.
constexpr int max_pending_datagrams = 4'096;

} // namespace

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
    boost::system::error_code ignored;
    m_socket.set_option(udp::socket::receive_buffer_size(receive_buffer_bytes), ignored);
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

void datagram_socket::receive_pending()
{
    // `m_buffer` belongs to the pending asynchronous receive.
    decltype(m_buffer) buffer;
    for (int i = 0; i < max_pending_datagrams && m_socket.is_open(); ++i) {
        boost::system::error_code error;
        udp::endpoint sender;
        const auto size = m_socket.receive_from(boost::asio::buffer(buffer), sender, 0, error);
        if (error == boost::asio::error::would_block)
            return;
        if (!error)
            m_handler(buffer.data(), size);
    }
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
                                    self->on_received(error, size);
                                });
}

void datagram_socket::on_received(const boost::system::error_code& error, std::size_t size)
{
    if (!m_socket.is_open())
        return;
    // Other errors are ICMP replies to earlier datagrams and do not affect this socket.
    if (!error)
        m_handler(m_buffer.data(), size);
    if (m_socket.is_open())
        receive();
}

} // namespace azureladder::peer
