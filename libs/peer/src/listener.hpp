#pragma once

#include "websocket.hpp"

#include <azureladder/base/clock.hpp>
#include <azureladder/peer/transport_options.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace azureladder::peer {

struct listener_handlers
{
    std::function<void(const std::string& payload)> m_on_frame;
    std::function<void(const char* reason)> m_on_dropped;
};

/// Accepts the links of other nodes.
class listener : public std::enable_shared_from_this<listener>
{
public:
    listener(boost::asio::io_context& context, const clock& time, const transport_options& options,
             listener_handlers handlers);

    /// Listens on `local`; with port 0 the kernel chooses the port.
    boost::system::error_code open(const boost::asio::ip::tcp::endpoint& local);

    std::uint16_t port();

    /// Starts to accept links.
    void accept();

    /// Closes links without traffic for twice the idle timeout, and resumes accepting after an
    /// error.
    void tick(time_point now);

    bool has_links() const { return !m_links.empty(); }

    void close();

private:
    struct incoming_link
    {
        server_connection m_connection;
        time_point m_last_activity{};
    };

    void set_handlers();
    void accept_next();
    void on_accepted(const server_connection& connection,
                     const websocketpp::lib::error_code& error);
    void on_opened(const websocketpp::connection_hdl& handle);
    void on_received(const websocketpp::connection_hdl& handle,
                     const websocket_server::message_ptr& message);
    void record_activity(const server_connection& connection);

    boost::asio::io_context& m_context;
    websocket_server m_server;
    const clock& m_clock;
    transport_options m_options;
    listener_handlers m_handlers;
    std::map<const void*, incoming_link> m_links;
    bool m_open = false;
    bool m_accepting = false;
};

} // namespace azureladder::peer
