#pragma once

#include "asio_types.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace azureladder::sidecar_runtime {

/// A server on the loopback interface whose responses the test defines.
class loopback_server
{
public:
    /// One accepted connection.
    class connection : public std::enable_shared_from_this<connection>
    {
    public:
        explicit connection(tcp::socket socket) : m_socket(std::move(socket))
        {
            // A small send buffer keeps the bytes sent close to the bytes that the peer has read.
            m_socket.set_option(asio::socket_base::send_buffer_size(64 * 1024));
        }

        std::size_t bytes_sent() const { return m_bytes_sent; }
        bool is_open() const { return m_socket.is_open(); }

        void send(const std::string& bytes)
        {
            error_code error;
            m_bytes_sent += asio::write(m_socket, asio::buffer(bytes), error);
        }

        /// Sends the same bytes repeatedly until the peer closes or `max_bytes` are sent.
        void send_repeatedly(std::string bytes, std::size_t max_bytes,
                             milliseconds pause = milliseconds(0))
        {
            const auto block = std::make_shared<std::string>(std::move(bytes));
            const auto timer = std::make_shared<asio::steady_timer>(m_socket.get_executor());
            send_block(block, timer, max_bytes, pause);
        }

        void close()
        {
            error_code ignored;
            m_socket.close(ignored);
        }

        /// Ends the output in an orderly way; the input stays open.
        void shutdown_sending()
        {
            error_code ignored;
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        }

        void reset()
        {
            m_socket.set_option(asio::socket_base::linger(true, 0));
            close();
        }

        /// Calls `on_head` with the header section of each received request.
        void read_heads(std::function<void(connection&, const std::string&)> on_head)
        {
            asio::async_read_until(m_socket, asio::dynamic_buffer(m_received), "\r\n\r\n",
                                   [self = shared_from_this(), on_head = std::move(on_head)](
                                       error_code error, std::size_t size) {
                                       if (error) {
                                           self->close();
                                           return;
                                       }
                                       const std::string head = self->m_received.substr(0, size);
                                       self->m_received.erase(0, size);
                                       on_head(*self, head);
                                       if (self->is_open())
                                           self->read_heads(on_head);
                                   });
        }

    private:
        void send_block(const std::shared_ptr<std::string>& block,
                        const std::shared_ptr<asio::steady_timer>& timer, std::size_t max_bytes,
                        milliseconds pause)
        {
            asio::async_write(m_socket, asio::buffer(*block),
                              [self = shared_from_this(), block, timer, max_bytes,
                               pause](error_code error, std::size_t size) {
                                  self->m_bytes_sent += size;
                                  if (error || self->m_bytes_sent >= max_bytes)
                                      return;
                                  timer->expires_after(pause);
                                  timer->async_wait([=](error_code) {
                                      self->send_block(block, timer, max_bytes, pause);
                                  });
                              });
        }

        tcp::socket m_socket;
        std::string m_received;
        std::size_t m_bytes_sent = 0;
    };

    /// Calls `on_head` with the header section of each request on any connection.
    loopback_server(asio::io_context& io,
                    std::function<void(connection&, const std::string&)> on_head)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}), m_on_head(std::move(on_head))
    {
        accept();
    }

    endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

    /// All connections in the order in which they were accepted.
    const std::vector<std::shared_ptr<connection>>& connections() const { return m_connections; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
            if (error)
                return;
            m_connections.push_back(std::make_shared<connection>(std::move(socket)));
            m_connections.back()->read_heads(m_on_head);
            accept();
        });
    }

    tcp::acceptor m_acceptor;
    std::function<void(connection&, const std::string&)> m_on_head;
    std::vector<std::shared_ptr<connection>> m_connections;
};

} // namespace azureladder::sidecar_runtime
