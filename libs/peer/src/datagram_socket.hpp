#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/wire/envelope.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace azureladder::peer {

/// UDP socket that receives until it is closed.
class datagram_socket : public std::enable_shared_from_this<datagram_socket>
{
public:
    using receive_handler = std::function<void(const std::uint8_t* data, std::size_t size)>;

    datagram_socket(boost::asio::io_context& context, receive_handler handler);

    /// Binds the socket and starts to receive.
    boost::system::error_code open(const boost::asio::ip::udp::endpoint& local);

    /// Returns whether the kernel accepted the datagram.
    bool send(const endpoint& to, const std::vector<std::uint8_t>& bytes);

    /// Handles the datagrams that are in the socket's receive buffer.
    void receive_pending();

    void close();

private:
    void receive();
    void on_received(const boost::system::error_code& error, std::size_t size);

    /// One byte larger than the largest valid datagram, so that a longer one is detected.
    std::array<std::uint8_t, wire::max_datagram_bytes + 1> m_buffer{};
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    receive_handler m_handler;
};

} // namespace azureladder::peer
