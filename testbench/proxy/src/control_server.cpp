#include "control_server.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace azureladder::proxy {

using boost::system::error_code;

struct control_server::session
{
    explicit session(tcp::socket socket) : m_socket(std::move(socket)) {}
    tcp::socket m_socket;
    std::string m_input;
    std::string m_output;
};

control_server::control_server(boost::asio::io_context& context, const endpoint& listen,
                               fault_proxy& links)
    : m_acceptor(context, {boost::asio::ip::make_address(listen.m_host), listen.m_port}),
      m_links(links)
{
    accept();
}

endpoint control_server::address() const
{
    const auto local = m_acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void control_server::accept()
{
    m_acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error)
            read(std::make_shared<session>(std::move(socket)));
        accept();
    });
}

void control_server::read(const std::shared_ptr<session>& connection)
{
    boost::asio::async_read_until(
        connection->m_socket, boost::asio::dynamic_buffer(connection->m_input, max_line_bytes),
        '\n', [this, connection](const error_code& error, std::size_t size) {
            if (!error)
                answer(connection, size);
        });
}

void control_server::answer(const std::shared_ptr<session>& connection, std::size_t size)
{
    const auto command = json::parse(connection->m_input.substr(0, size), nullptr, false);
    connection->m_input.erase(0, size);
    connection->m_output = m_links.execute(command).dump() + "\n";
    boost::asio::async_write(connection->m_socket, boost::asio::buffer(connection->m_output),
                             [this, connection](const error_code& error, std::size_t) {
                                 if (!error)
                                     read(connection);
                             });
}

} // namespace azureladder::proxy
