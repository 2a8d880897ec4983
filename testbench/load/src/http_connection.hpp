#pragma once

#include "call.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace azureladder::load {

/// How an exchange on a connection ended.
enum class exchange_state
{
    complete,

    /// The connection ended after the header of the response.
    truncated,

    /// The connection ended without a response.
    lost
};

struct http_reply
{
    int m_status = 0;

    /// Value of Azureladder-Executed; empty when the response has none.
    std::string m_executed;
    std::string m_body;
    bool m_keep_alive = false;
};

class http_connection;

/// Callbacks for connection events.
class connection_events
{
public:
    virtual ~connection_events() = default;
    virtual void connected(http_connection& connection, bool is_connected) = 0;
    virtual void replied(http_connection& connection, exchange_state state,
                         const http_reply& reply) = 0;

    /// The connection was closed between two requests.
    virtual void idle_connection_closed(http_connection& connection) = 0;
};

/// Persistent HTTP/1.1 connection with one request at a time. Each request is sent once.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(boost::asio::io_context& context, connection_events& events,
                    std::uint32_t target);
    ~http_connection();

    std::uint32_t target() const { return m_target; }
    bool is_connected() const { return m_is_connected; }

    void connect(const endpoint& address);

    /// Sends one request; the connection must be connected and without a call in progress.
    void send(std::string request);

    /// Closes the connection. No further events follow.
    void close();

    /// Call that the connection is used for, if any.
    std::unique_ptr<call> m_call;

private:
    struct reader;

    void start_read();
    void finish_read(bool has_failed);

    connection_events& m_events;
    std::uint32_t m_target;
    boost::asio::ip::tcp::socket m_socket;
    std::unique_ptr<reader> m_reader;
    std::string m_request;
    bool m_is_connected = false;
    bool m_is_closed = false;
};

} // namespace azureladder::load
