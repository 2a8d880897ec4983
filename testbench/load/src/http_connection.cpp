#include "http_connection.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace azureladder::load {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t max_body_bytes = std::uint64_t(4) << 20;

} // namespace

struct http_connection::reader
{
    boost::beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser;
};

http_connection::http_connection(asio::io_context& context, connection_events& events,
                                 std::uint32_t target)
    : m_events(events), m_target(target), m_socket(context), m_reader(std::make_unique<reader>())
{
}

http_connection::~http_connection() = default;

void http_connection::connect(const endpoint& address)
{
    const asio::ip::tcp::endpoint to(asio::ip::make_address(address.m_host), address.m_port);
    m_socket.async_connect(to, [self = shared_from_this()](const error_code& error) {
        if (self->m_is_closed)
            return;
        self->m_is_connected = !error;
        if (!error) {
            error_code ignored;
            self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->start_read();
        }
        self->m_events.connected(*self, !error);
    });
}

void http_connection::send(std::string request)
{
    m_request = std::move(request);
    asio::async_write(m_socket, asio::buffer(m_request),
                      [self = shared_from_this()](const error_code& error, std::size_t) {
                          // The pending read reports the failure.
                          error_code ignored;
                          if (error && !self->m_is_closed)
                              self->m_socket.shutdown(asio::ip::tcp::socket::shutdown_both,
                                                      ignored);
                      });
}

void http_connection::start_read()
{
    // Start the read before the request is sent, so that a connection closed between two requests
    // is detected before it is reused.
    auto& parser = m_reader->m_parser.emplace();
    parser.body_limit(max_body_bytes);
    http::async_read(m_socket, m_reader->m_buffer, parser,
                     [self = shared_from_this()](const error_code& error, std::size_t) {
                         if (!self->m_is_closed)
                             self->finish_read(bool(error));
                     });
}

void http_connection::finish_read(bool has_failed)
{
    auto& parser = *m_reader->m_parser;
    if (!m_call) {
        m_events.idle_connection_closed(*this);
        return;
    }
    http_reply reply;
    if (parser.is_header_done()) {
        const auto& message = parser.get();
        reply.m_status = int(message.result_int());
        reply.m_executed = std::string(message["Azureladder-Executed"]);
        reply.m_keep_alive = !has_failed && message.keep_alive();
    }
    if (has_failed) {
        m_events.replied(*this,
                         parser.is_header_done() ? exchange_state::truncated : exchange_state::lost,
                         reply);
        return;
    }
    reply.m_body = std::move(parser.get().body());
    if (reply.m_keep_alive)
        start_read();
    m_events.replied(*this, exchange_state::complete, reply);
}

void http_connection::close()
{
    m_is_closed = true;
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace azureladder::load
