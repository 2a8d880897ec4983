#pragma once

#include "datagram_queue.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <map>
#include <memory>

namespace azureladder::proxy {

/// UDP side of a link. Each client address has a separate socket to the target, so that replies
/// can be routed back to it.
class udp_relay
{
public:
    using udp = boost::asio::ip::udp;

    udp_relay(boost::asio::io_context& context, const proxy_settings& settings,
              const link_settings& link, link_direction& forward, link_direction& backward);
    ~udp_relay();

    /// Opens the socket; throws `boost::system::system_error` when the port is in use.
    void open(std::uint16_t port);

    /// While set, all datagrams are dropped.
    void set_refusing(bool is_refusing) { m_is_refusing = is_refusing; }

    std::uint16_t port() const { return m_socket.local_endpoint().port(); }

private:
    static constexpr std::size_t max_datagram_bytes = 65'536;

    struct client
    {
        explicit client(boost::asio::io_context& context) : m_socket(context) {}
        udp::endpoint m_address;
        udp::socket m_socket;
        clock_type::time_point m_last_used{};
    };
    using client_ptr = std::shared_ptr<client>;

    void receive();
    void relay(std::size_t size);
    void receive_from_target(const client_ptr& peer);
    client_ptr client_for(const udp::endpoint& address);
    void remove_least_recently_used();

    boost::asio::io_context& m_context;
    const proxy_settings& m_settings;
    udp::endpoint m_listen;
    udp::endpoint m_target;
    link_direction& m_forward;
    link_direction& m_backward;
    datagram_queue m_to_target;
    datagram_queue m_to_clients;
    udp::socket m_socket;
    udp::endpoint m_sender;
    std::array<char, max_datagram_bytes> m_buffer{};
    std::array<char, max_datagram_bytes> m_answer_buffer{};
    std::map<udp::endpoint, client_ptr> m_clients;
    bool m_is_refusing = false;
};

} // namespace azureladder::proxy
