#include "client_connection.hpp"

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <charconv>

namespace azureladder::sidecar_runtime {

namespace http = boost::beast::http;

namespace {

/// Longest response head that is read, in bytes.
constexpr std::uint32_t max_response_head = 64 * 1024;

/// Bytes that are kept unparsed: a head, a line of the chunked coding or its trailers.
constexpr std::size_t max_unparsed_bytes = 2 * std::size_t{max_response_head};

/// Largest single read, in bytes.
constexpr std::size_t max_read_bytes = 64 * 1024;

/// Bytes that are read in one exchange, whatever they are. A page of the store has about 1.5 MB,
/// and a dozen exchanges at once take less than a third of the 160 MB of the smallest VM.
constexpr std::size_t max_exchange_bytes = 4 * 1024 * 1024;

/// Idle time after which a connection is not used again when its server states no time.
constexpr std::chrono::milliseconds default_idle_time{4000};

/// A connection is not used again in the last part of the time that its server states.
constexpr std::chrono::milliseconds idle_margin{1000};

std::chrono::milliseconds idle_time(const sidecar::header_fields& headers)
{
    const std::string_view text = header_value(headers, "Keep-Alive");
    constexpr std::string_view parameter = "timeout=";
    const auto at = text.find(parameter);
    if (at == std::string_view::npos)
        return default_idle_time;
    const std::string_view number = text.substr(at + parameter.size());
    int value = 0;
    if (std::from_chars(number.data(), number.data() + number.size(), value).ec != std::errc())
        return default_idle_time;
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::milliseconds(value * 1000) - idle_margin);
}

} // namespace

client_connection::client_connection(asio::io_context& io, const endpoint& address,
                                     milliseconds connect_timeout)
    : m_io(io), m_stream(io), m_address(to_tcp(address)), m_connect_timeout(connect_timeout),
      m_buffer(max_unparsed_bytes)
{
}

void client_connection::exchange(const http_request& request, milliseconds timeout,
                                 accept_function accept, done_function done)
{
    ++m_idle_watch;
    if (m_connected && !is_quiet())
        close();
    m_request = {};
    m_request.version(11);
    m_request.method_string(request.m_method);
    m_request.target(request.m_target);
    for (const auto& field : request.m_headers)
        m_request.insert(field.m_name, field.m_value);
    m_request.body() = request.m_body;
    m_request.prepare_payload();
    m_timeout = timeout;
    m_accept = std::move(accept);
    m_done = std::move(done);
    m_write_done = false;
    m_nothing_sent = false;
    m_reusable = false;
    if (m_connected)
        send();
    else if (m_may_send && m_was_connected)
        finish(exchange_result::not_sent, "the connection has ended");
    else
        connect();
}

void client_connection::bind_to_connection(may_send_function may_send)
{
    m_may_send = std::move(may_send);
}

bool client_connection::is_quiet()
{
    char byte = 0;
    const auto seen = recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void client_connection::connect()
{
    m_stream.expires_after(m_connect_timeout);
    m_stream.async_connect(m_address, [self = shared_from_this()](error_code error) {
        if (!self->m_done)
            return;
        if (error) {
            self->finish(exchange_result::not_sent, "connect: " + error.message());
            return;
        }
        self->m_connected = self->m_was_connected = true;
        set_connection_options(self->m_stream.socket());
        self->send();
    });
}

void client_connection::send()
{
    if (m_may_send && !m_may_send()) {
        finish(exchange_result::not_sent, "too late to be sent");
        return;
    }
    m_stream.expires_after(m_timeout);
    m_deadline = std::chrono::steady_clock::now() + m_timeout;
    m_bytes_read = 0;
    http::async_write(m_stream, m_request,
                      [self = shared_from_this()](error_code error, std::size_t sent) {
                          self->m_write_done = !error;
                          self->m_nothing_sent = error && sent == 0;
                      });
    expect_answer();
    read_some();
}

void client_connection::expect_answer()
{
    m_parser.emplace();
    m_parser->header_limit(max_response_head);
    m_parser->body_limit(max_exchange_bytes);
    if (m_request.method() == http::verb::head)
        m_parser->skip(true);
}

void client_connection::read_some()
{
    const std::size_t size = boost::beast::read_size(m_buffer, max_read_bytes);
    if (size == 0 || m_bytes_read > max_exchange_bytes) {
        finish(exchange_result::broken, "answer too long");
        return;
    }
    // Bytes that never stop coming keep the stream from reporting its expiry.
    if (std::chrono::steady_clock::now() > m_deadline) {
        finish(exchange_result::broken, "timeout");
        return;
    }
    m_stream.async_read_some(m_buffer.prepare(size),
                             [self = shared_from_this()](error_code error, std::size_t read) {
                                 if (!self->m_done)
                                     return;
                                 self->m_buffer.commit(read);
                                 self->m_bytes_read += read;
                                 self->on_read(error);
                             });
}

void client_connection::on_read(error_code error)
{
    for (;;) {
        if (!error)
            error = parse();
        else if (error == asio::error::eof && m_parser->got_some())
            m_parser->put_eof(error);
        if (error) {
            finish(m_nothing_sent ? exchange_result::not_sent : exchange_result::broken,
                   error.message());
            return;
        }
        if (!m_parser->is_done()) {
            read_some();
            return;
        }
        if (take_answer())
            return;
        expect_answer();
    }
}

error_code client_connection::parse()
{
    error_code error;
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        // An eager parser goes on behind a head whose length is over the limit.
        m_parser->eager(m_parser->is_header_done());
        const std::size_t used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        if (error)
            break;
    }
    return error == http::error::need_more ? error_code() : error;
}

bool client_connection::take_answer()
{
    auto& message = m_parser->get();
    if (message.result_int() < 200)
        return false;
    exchange_outcome outcome;
    outcome.m_result = exchange_result::answered;
    outcome.m_response.m_status = static_cast<int>(message.result_int());
    for (const auto& field : message) {
        const auto name = field.name_string();
        const auto value = field.value();
        outcome.m_response.m_headers.push_back(
            {std::string(name.data(), name.size()), std::string(value.data(), value.size())});
    }
    outcome.m_response.m_body = std::move(message.body());
    if (m_accept && !m_accept(outcome.m_response))
        return false;
    m_stream.expires_never();
    // Bytes after a complete answer belong to no request.
    m_reusable = message.keep_alive() && m_write_done && m_buffer.size() == 0;
    m_idle_end = std::chrono::steady_clock::now() + idle_time(outcome.m_response.m_headers);
    const done_function done = std::move(m_done);
    m_done = nullptr;
    if (!m_reusable)
        close();
    done(std::move(outcome));
    return true;
}

void client_connection::finish(exchange_result result, const std::string& cause)
{
    const done_function done = std::move(m_done);
    close();
    done({result, {}, cause});
}

void client_connection::close()
{
    m_done = nullptr;
    m_connected = false;
    m_reusable = false;
    ++m_idle_watch;
    // The connection is given up, so an error of closing it changes nothing.
    error_code ignored;
    m_stream.socket().close(ignored);
}

void client_connection::watch_idle(std::function<void()> closed)
{
    const std::uint64_t watch = ++m_idle_watch;
    m_stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), watch, closed = std::move(closed)](error_code /*error*/) {
            if (self->m_idle_watch != watch)
                return;
            self->close();
            closed();
        });
}

std::shared_ptr<client_connection> make_connection(asio::io_context& io, const std::string& address,
                                                   milliseconds connect_timeout)
{
    const auto parsed = parse_endpoint(address);
    return std::make_shared<client_connection>(io, parsed.value_or(endpoint{"127.0.0.1", 9}),
                                               connect_timeout);
}

std::shared_ptr<client_connection> take_idle(std::vector<std::shared_ptr<client_connection>>& idle)
{
    while (!idle.empty()) {
        auto connection = idle.back();
        idle.pop_back();
        if (connection->is_kept_open())
            return connection;
        connection->close();
    }
    return nullptr;
}

} // namespace azureladder::sidecar_runtime
