#pragma once

#include "link_direction.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace azureladder::proxy {

class tcp_session;

/// TCP listener of a link and its connections.
class tcp_relay
{
public:
    using tcp = boost::asio::ip::tcp;

    tcp_relay(boost::asio::io_context& context, const proxy_settings& settings,
              const link_settings& link, link_direction& forward, link_direction& backward);
    ~tcp_relay();

    /// Opens the listener; throws `boost::system::system_error` when the port is in use.
    void open();

    /// Closes the listener and resets all connections.
    void refuse();

    /// Applies changed faults to the existing connections.
    void apply_faults();

    std::uint16_t port() const { return m_port; }
    std::size_t session_count() const { return m_sessions.size(); }

private:
    void accept();
    void add(tcp::socket client);

    boost::asio::io_context& m_context;
    const proxy_settings& m_settings;
    tcp::endpoint m_listen;
    tcp::endpoint m_target;
    link_direction& m_forward;
    link_direction& m_backward;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::set<std::shared_ptr<tcp_session>> m_sessions;
};

} // namespace azureladder::proxy
