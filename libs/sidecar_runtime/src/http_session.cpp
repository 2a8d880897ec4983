#include "http_session.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace azureladder::sidecar_runtime {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t initial_read_bytes = 4096;

/// Limit of bytes that are read after a request and before its response. A disconnect behind more
/// bytes is not detected.
constexpr std::size_t max_read_ahead_bytes = 16 * 1024;

/// Longest time to read the body of a request, and to write a response.
constexpr std::chrono::seconds transfer_timeout{30};

int status_for_error(error_code error)
{
    if (error == http::error::header_limit)
        return 431;
    if (error == http::error::body_limit)
        return 413;
    return 400;
}

bool is_parse_error(error_code error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

} // namespace

http_session::http_session(tcp::socket socket, const callbacks& handlers)
    : m_stream(std::move(socket)), m_handlers(handlers)
{
}

void http_session::start()
{
    set_connection_options(m_stream.socket());
    error_code error;
    m_stream.socket().non_blocking(true, error);
    if (error)
        end();
    else
        wait_for_request();
}

void http_session::wait_for_request()
{
    if (m_buffer.size() > 0) {
        read_head();
        return;
    }
    m_stream.expires_after(
        std::chrono::duration_cast<milliseconds>(m_handlers.m_limits().m_idle_timeout));
    m_stream.async_read_some(m_buffer.prepare(initial_read_bytes),
                             [self = shared_from_this()](error_code error, std::size_t size) {
                                 if (error) {
                                     self->end();
                                     return;
                                 }
                                 self->m_buffer.commit(size);
                                 self->read_head();
                             });
}

void http_session::read_head()
{
    const auto limits = m_handlers.m_limits();
    m_parser.emplace();
    m_parser->header_limit(limits.m_max_header_bytes);
    m_parser->body_limit(limits.m_max_body_bytes);
    m_stream.expires_after(std::chrono::duration_cast<milliseconds>(limits.m_header_timeout));
    http::async_read_header(m_stream, m_buffer, *m_parser,
                            [self = shared_from_this()](error_code error, std::size_t /*size*/) {
                                if (error)
                                    self->on_read(error);
                                else
                                    self->read_body();
                            });
}

void http_session::read_body()
{
    m_stream.expires_after(transfer_timeout);
    const auto read = [self = shared_from_this()] {
        http::async_read(self->m_stream, self->m_buffer, *self->m_parser,
                         [self](error_code error, std::size_t /*size*/) { self->on_read(error); });
    };
    if (!boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        read();
        return;
    }
    static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_stream, asio::buffer(continue_response),
                      [self = shared_from_this(), read](error_code error, std::size_t /*size*/) {
                          if (error)
                              self->end();
                          else
                              read();
                      });
}

void http_session::on_read(error_code error)
{
    if (error) {
        if (is_parse_error(error))
            reject(status_for_error(error));
        else
            end();
        return;
    }
    m_stream.expires_never();
    if (m_handlers.m_drops_abandoned_requests && !is_caller_connected()) {
        m_handlers.m_on_disconnect(*this);
        end();
        return;
    }
    auto& message = m_parser->get();
    http_request request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    for (const auto& field : message) {
        const auto name = field.name_string();
        const auto value = field.value();
        request.m_headers.push_back(
            {std::string(name.data(), name.size()), std::string(value.data(), value.size())});
    }
    request.m_body = std::move(message.body());
    m_keep_alive = message.keep_alive();
    m_is_head_request = message.method() == http::verb::head;
    m_awaits_response = true;
    ++m_request_count;
    watch_for_disconnect();
    m_handlers.m_on_request(shared_from_this(), std::move(request));
}

bool http_session::is_caller_connected()
{
    error_code error;
    while (!error && m_buffer.size() < max_read_ahead_bytes)
        m_buffer.commit(m_stream.socket().read_some(m_buffer.prepare(initial_read_bytes), error));
    return !error || error == asio::error::would_block;
}

void http_session::watch_for_disconnect()
{
    m_stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), request = m_request_count](error_code error) {
            if (error || !self->m_awaits_response || self->m_request_count != request)
                return;
            if (self->is_caller_connected()) {
                if (self->m_buffer.size() < max_read_ahead_bytes)
                    self->watch_for_disconnect();
                return;
            }
            self->m_awaits_response = false;
            self->m_handlers.m_on_disconnect(*self);
            self->end();
        });
}

void http_session::respond(const http_response& response)
{
    if (!m_awaits_response)
        return;
    m_awaits_response = false;
    write(response, m_keep_alive && !m_handlers.m_is_draining());
}

void http_session::reject(int status)
{
    http_response response;
    response.m_status = status;
    response.m_body = "request is malformed or exceeds a size limit\n";
    write(response, false);
}

void http_session::write(const http_response& response, bool keep_alive)
{
    m_response = {};
    m_response.version(11);
    m_response.result(static_cast<unsigned>(response.m_status));
    for (const auto& field : response.m_headers)
        m_response.insert(field.m_name, field.m_value);
    m_response.body() = m_is_head_request ? std::string() : response.m_body;
    m_response.prepare_payload();
    m_response.keep_alive(keep_alive);
    m_stream.expires_after(transfer_timeout);
    http::async_write(m_stream, m_response,
                      [self = shared_from_this(), keep_alive](error_code error, std::size_t) {
                          if (error || !keep_alive) {
                              error_code ignored;
                              self->m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
                              self->end();
                              return;
                          }
                          self->wait_for_request();
                      });
}

void http_session::end()
{
    if (m_is_closed)
        return;
    m_is_closed = true;
    // The connection is discarded, so an error while closing has no effect.
    error_code ignored;
    m_stream.socket().close(ignored);
    m_handlers.m_on_closed(*this);
}

} // namespace azureladder::sidecar_runtime
