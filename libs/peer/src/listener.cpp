#include "listener.hpp"

#include "socket_options.hpp"

#include <utility>

namespace azureladder::peer {

using boost::asio::ip::tcp;
using websocketpp::connection_hdl;

namespace {

/// System error of listening on `local`. websocketpp replaces it by an error code of its own, so
/// the attempt is repeated without websocketpp.
boost::system::error_code find_listen_error(boost::asio::io_context& context,
                                            const tcp::endpoint& local)
{
    tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(local.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(local, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    return error ? error : boost::asio::error::make_error_code(boost::asio::error::try_again);
}

} // namespace

listener::listener(boost::asio::io_context& context, const clock& time,
                   const transport_options& options, listener_handlers handlers)
    : m_context(context), m_clock(time), m_options(options), m_handlers(std::move(handlers))
{
    websocketpp::lib::error_code ignored;
    m_server.init_asio(&context, ignored);
    m_server.set_max_message_size(options.m_max_frame_bytes);
    m_server.set_reuse_addr(true);
}

boost::system::error_code listener::open(const tcp::endpoint& local)
{
    websocketpp::lib::error_code error;
    m_server.listen(local, error);
    if (error)
        return find_listen_error(m_context, local);
    m_open = true;
    return {};
}

std::uint16_t listener::port()
{
    boost::system::error_code error;
    return m_server.get_local_endpoint(error).port();
}

void listener::accept()
{
    set_handlers();
    accept_next();
}

void listener::accept_next()
{
    using transport_pointer = websocket_server::transport_con_ptr;
    const auto connection = m_server.get_connection();
    websocketpp::lib::error_code error;
    m_accepting = true;
    m_server.async_accept(
        transport_pointer(connection),
        [self = shared_from_this(), connection](const websocketpp::lib::error_code& failure) {
            self->on_accepted(connection, failure);
        },
        error);
    if (error)
        m_accepting = false;
}

void listener::on_accepted(const server_connection& connection,
                           const websocketpp::lib::error_code& error)
{
    m_accepting = false;
    if (error) {
        connection->terminate(error);
        // Without free file descriptors, accepting again at once, as the accept loop of websocketpp
        // does, would fail in a busy loop. The next tick retries.
        return;
    }
    connection->start();
    if (m_open)
        accept_next();
}

void listener::set_handlers()
{
    const auto self = shared_from_this();
    m_server.set_tcp_pre_init_handler([self](const connection_hdl& handle) {
        websocketpp::lib::error_code error;
        if (const auto connection = self->m_server.get_con_from_hdl(handle, error))
            set_socket_options(connection->get_raw_socket());
    });
    m_server.set_open_handler([self](const connection_hdl& handle) { self->on_opened(handle); });
    m_server.set_close_handler(
        [self](const connection_hdl& handle) { self->m_links.erase(handle.lock().get()); });
    m_server.set_message_handler(
        [self](const connection_hdl& handle, const websocket_server::message_ptr& message) {
            self->on_received(handle, message);
        });
    m_server.set_ping_handler([self](const connection_hdl& handle, const std::string&) {
        websocketpp::lib::error_code error;
        if (const auto connection = self->m_server.get_con_from_hdl(handle, error))
            self->record_activity(connection);
        return true;
    });
}

void listener::on_opened(const connection_hdl& handle)
{
    websocketpp::lib::error_code error;
    const auto connection = m_server.get_con_from_hdl(handle, error);
    if (!connection)
        return;
    boost::system::error_code ignored;
    if (!m_open)
        connection->get_raw_socket().close(ignored);
    else
        m_links[connection.get()] = {connection, m_clock.now()};
}

void listener::record_activity(const server_connection& connection)
{
    const auto found = m_links.find(connection.get());
    if (found != m_links.end())
        found->second.m_last_activity = m_clock.now();
}

void listener::on_received(const connection_hdl& handle,
                           const websocket_server::message_ptr& message)
{
    websocketpp::lib::error_code error;
    const auto connection = m_server.get_con_from_hdl(handle, error);
    if (!connection || !m_open)
        return;
    record_activity(connection);
    if (message->get_opcode() == websocketpp::frame::opcode::binary)
        return m_handlers.m_on_frame(message->get_payload());
    m_handlers.m_on_dropped("text frame");
    connection->close(websocketpp::close::status::unsupported_data, "", error);
}

void listener::tick(time_point now)
{
    if (m_open && !m_accepting)
        accept_next();
    // A peer closes a link that is unused for the idle timeout, so a longer time without traffic
    // means that the peer failed without closing it.
    const auto limit = m_options.m_idle_timeout * 2;
    for (auto it = m_links.begin(); it != m_links.end();) {
        if (now - it->second.m_last_activity < limit) {
            ++it;
            continue;
        }
        boost::system::error_code ignored;
        it->second.m_connection->get_raw_socket().close(ignored);
        it = m_links.erase(it);
    }
}

void listener::close()
{
    if (!std::exchange(m_open, false))
        return;
    websocketpp::lib::error_code ignored;
    m_server.stop_listening(ignored);
    boost::system::error_code unused;
    for (const auto& [key, link] : std::exchange(m_links, {}))
        link.m_connection->get_raw_socket().close(unused);
    // The handlers own this object; connections that are still closing have their own copies.
    m_server.set_tcp_pre_init_handler(nullptr);
    m_server.set_open_handler(nullptr);
    m_server.set_close_handler(nullptr);
    m_server.set_message_handler(nullptr);
    m_server.set_ping_handler(nullptr);
}

} // namespace azureladder::peer
