#include "client_connection.hpp"

#include "byte_budget.hpp"

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace azureladder::sidecar_runtime {

namespace http = boost::beast::http;

namespace {

/// Longest accepted header section of a response, in bytes.
constexpr std::uint32_t max_response_header_bytes = 64 * 1024;

/// Limit of unparsed bytes: a header section, a line of the chunked coding, or trailers.
constexpr std::size_t max_unparsed_bytes = 2 * std::size_t{max_response_header_bytes};

constexpr std::size_t max_single_read_bytes = 64 * 1024;

/// Limit of all bytes read in one exchange. A page of the store has about 1.5 MB.
constexpr std::size_t max_exchange_bytes = 4 * 1024 * 1024;

/// Largest read buffer that is kept between exchanges. It has room for an ordinary response.
constexpr std::size_t max_kept_buffer_bytes = 16 * 1024;

constexpr const char* memory_limit_cause = "responses exceed the memory limit";

/// Idle time after which a connection is not reused when its server sends no Keep-Alive timeout.
constexpr std::chrono::milliseconds default_keep_alive{4000};

/// Subtracted from the server's Keep-Alive timeout, so that a request does not meet the close.
constexpr std::chrono::milliseconds keep_alive_margin{1000};

/// Limit of the interim responses of one exchange. Without it, a server could hold an exchange
/// until its deadline.
constexpr int max_interim_responses = 16;

/// Whether a status may be sent in response to these requests (RFC 9110, section 15). 101 is not
/// among them, since no request asks for another protocol.
bool is_valid_status(unsigned status)
{
    return status >= 100 && status <= 599 && status != 101;
}

/// Whether a field of a header or trailer section continues on a further line (obs-fold in RFC
/// 9112, section 5.2). Such a line may also be a field whose name begins with a blank.
bool has_folded_field(std::string_view section)
{
    constexpr std::string_view line_end = "\r\n";
    for (auto at = section.find(line_end); at != std::string_view::npos;
         at = section.find(line_end, at)) {
        at += line_end.size();
        if (at < section.size() && (section[at] == ' ' || section[at] == '\t'))
            return true;
    }
    return false;
}

/// Whether the parser removes all transfer codings of a response; it removes chunked only. The
/// Transfer-Encoding header is not passed on, so a receiver could not remove another one.
bool has_supported_transfer_coding(const http::fields& fields)
{
    const auto codings = fields.equal_range(http::field::transfer_encoding);
    return std::all_of(codings.first, codings.second, [](const auto& field) {
        return boost::beast::iequals(field.value(), "chunked");
    });
}

template <class Fields>
std::size_t memory_of_fields(const Fields& fields)
{
    std::size_t bytes = 0;
    for (const auto& field : fields)
        bytes += field.name_string().size() + field.value().size() + field_overhead_bytes;
    return bytes;
}

std::chrono::milliseconds keep_alive_time(const sidecar::header_fields& headers)
{
    const std::string_view text = header_value(headers, "Keep-Alive");
    constexpr std::string_view parameter = "timeout=";
    const auto at = text.find(parameter);
    if (at == std::string_view::npos)
        return default_keep_alive;
    const std::string_view number = text.substr(at + parameter.size());
    int value = 0;
    if (std::from_chars(number.data(), number.data() + number.size(), value).ec != std::errc())
        return default_keep_alive;
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::milliseconds(value * 1000) - keep_alive_margin);
}

} // namespace

client_connection::client_connection(asio::io_context& io, const endpoint& address,
                                     milliseconds connect_timeout, byte_budget* budget)
    : m_io(io), m_stream(io), m_address(to_tcp_endpoint(address)),
      m_connect_timeout(connect_timeout), m_budget(budget), m_buffer(max_unparsed_bytes)
{
}

void client_connection::exchange(const http_request& request, milliseconds timeout,
                                 response_filter filter, completion_handler on_completion)
{
    ++m_idle_watch_id;
    if (m_connected && !has_no_pending_input())
        close();
    m_timeout = timeout;
    m_response_filter = std::move(filter);
    m_completion_handler = std::move(on_completion);
    m_is_request_written = false;
    m_nothing_sent = false;
    m_write_error = {};
    m_reusable = false;
    if (m_budget != nullptr) {
        m_reservation.emplace(*m_budget, [this] {
            const auto self = shared_from_this();
            fail_exchange(exchange_result::incomplete, memory_limit_cause);
        });
    }
    try {
        build_message(request);
    } catch (const std::exception& error) {
        fail_exchange(exchange_result::not_sent,
                      std::string("the request can't be written: ") + error.what());
        return;
    }
    if (m_connected)
        send();
    else if (m_send_condition && m_has_connected)
        fail_exchange(exchange_result::not_sent,
                      "the connection is closed and must not be reopened");
    else
        connect();
}

void client_connection::build_message(const http_request& request)
{
    m_request = {};
    m_request.version(11);
    m_request.method_string(request.m_method);
    m_request.target(request.m_target);
    for (const auto& field : request.m_headers)
        m_request.insert(field.m_name, field.m_value);
    m_request.body() = request.m_body;
    m_request.prepare_payload();
}

void client_connection::restrict_to_first_connection(send_condition may_send)
{
    m_send_condition = std::move(may_send);
}

bool client_connection::has_no_pending_input()
{
    char byte = 0;
    const auto peeked = recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void client_connection::connect()
{
    m_stream.expires_after(m_connect_timeout);
    m_stream.async_connect(m_address, [self = shared_from_this()](error_code error) {
        if (!self->m_completion_handler)
            return;
        if (error) {
            self->fail_exchange(exchange_result::not_sent, "connect: " + error.message());
            return;
        }
        self->m_connected = self->m_has_connected = true;
        set_connection_options(self->m_stream.socket());
        self->send();
    });
}

void client_connection::send()
{
    if (m_send_condition && !m_send_condition()) {
        fail_exchange(exchange_result::not_sent, "the send deadline has passed");
        return;
    }
    m_stream.expires_after(m_timeout);
    m_deadline = std::chrono::steady_clock::now() + m_timeout;
    m_bytes_read = 0;
    m_interim_responses = 0;
    http::async_write(m_stream, m_request,
                      [self = shared_from_this()](error_code error, std::size_t sent) {
                          self->m_is_request_written = !error;
                          self->m_nothing_sent = error && sent == 0;
                          self->m_write_error = error;
                      });
    start_response_parser();
    read_some();
}

void client_connection::start_response_parser()
{
    m_header_bytes = 0;
    m_parser.emplace();
    m_parser->header_limit(max_response_header_bytes);
    m_parser->body_limit(max_exchange_bytes);
    if (m_request.method() == http::verb::head)
        m_parser->skip(true);
}

void client_connection::read_some()
{
    const std::size_t size = boost::beast::read_size(m_buffer, max_single_read_bytes);
    if (size == 0 || m_bytes_read > max_exchange_bytes) {
        fail_exchange(exchange_result::incomplete, "response exceeds the size limit");
        return;
    }
    // A continuous flow of bytes keeps the stream from reporting its timeout.
    if (std::chrono::steady_clock::now() > m_deadline) {
        fail_exchange(exchange_result::incomplete, "timeout");
        return;
    }
    const auto free_space = m_buffer.prepare(size);
    if (!reserve_used_bytes())
        return;
    m_stream.async_read_some(free_space,
                             [self = shared_from_this()](error_code error, std::size_t read) {
                                 if (!self->m_completion_handler)
                                     return;
                                 self->m_buffer.commit(read);
                                 self->m_bytes_read += read;
                                 self->on_read(error);
                             });
}

bool client_connection::is_broken_off() const
{
    // A write gets EPIPE if the end of the server's output arrived before the failure.
    return m_write_error && m_write_error != asio::error::broken_pipe;
}

void client_connection::on_read(error_code error)
{
    // The system reports a failure of the connection only once. If the write got it, the read sees
    // an ordinary end of input.
    if (error == asio::error::eof && is_broken_off())
        error = m_write_error;
    for (;;) {
        if (!error)
            error = parse();
        else if (error == asio::error::eof && m_parser->got_some())
            m_parser->put_eof(error);
        if (error) {
            fail_exchange(m_nothing_sent ? exchange_result::not_sent : exchange_result::incomplete,
                          error.message(),
                          error == asio::error::connection_reset && m_bytes_read == 0);
            return;
        }
        if (!m_parser->is_done()) {
            read_some();
            return;
        }
        if (try_complete())
            return;
        start_response_parser();
    }
}

error_code client_connection::parse()
{
    error_code error;
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        const bool is_header = !m_parser->is_header_done();
        std::size_t consumed_bytes = 0;
        try {
            consumed_bytes = m_parser->put(m_buffer.data(), error);
        } catch (const std::length_error&) {
            // A header field is longer than the list of fields can hold.
            return http::error::header_limit;
        }
        // Without eager(), the parser stops behind the header section and each chunk, and consumes
        // a field together with all its lines.
        const bool is_trailer = m_parser->is_done() && m_parser->chunked();
        if ((is_header || is_trailer) &&
            has_folded_field({static_cast<const char*>(m_buffer.data().data()), consumed_bytes}))
            return http::error::bad_field;
        m_buffer.consume(consumed_bytes);
        if (error)
            break;
    }
    if (m_header_bytes == 0 && m_parser->is_header_done())
        m_header_bytes = memory_of_fields(m_parser->get());
    return error == http::error::need_more ? error_code() : error;
}

bool client_connection::try_complete()
{
    auto& message = m_parser->get();
    const unsigned status = message.result_int();
    if (!is_valid_status(status)) {
        fail_exchange(exchange_result::incomplete, "invalid status " + std::to_string(status));
        return true;
    }
    if (status < 200) {
        if (++m_interim_responses <= max_interim_responses)
            return false;
        fail_exchange(exchange_result::incomplete, "too many interim responses");
        return true;
    }
    if (!has_supported_transfer_coding(message)) {
        fail_exchange(exchange_result::incomplete, "unsupported transfer coding");
        return true;
    }
    exchange_outcome outcome;
    outcome.m_result = exchange_result::answered;
    outcome.m_response.m_status = static_cast<int>(status);
    for (const auto& field : message) {
        const auto name = field.name_string();
        const auto value = field.value();
        outcome.m_response.m_headers.push_back(
            {std::string(name.data(), name.size()), std::string(value.data(), value.size())});
    }
    outcome.m_response.m_body = std::move(message.body());
    // The receiver of the response copies it.
    if (!reserve(2 * (memory_of_fields(message) + outcome.m_response.m_body.capacity())))
        return true;
    if (m_response_filter && !m_response_filter(outcome.m_response))
        return false;
    m_stream.expires_never();
    // Bytes after a complete response belong to no request.
    m_reusable = message.keep_alive() && m_is_request_written && m_buffer.size() == 0;
    m_reuse_deadline =
        std::chrono::steady_clock::now() + keep_alive_time(outcome.m_response.m_headers);
    const completion_handler on_completion = std::move(m_completion_handler);
    m_completion_handler = nullptr;
    if (m_reusable)
        release_memory();
    else
        close();
    on_completion(std::move(outcome));
    return true;
}

bool client_connection::reserve_used_bytes()
{
    return reserve(m_buffer.capacity() + m_header_bytes + m_parser->get().body().capacity());
}

bool client_connection::reserve(std::size_t bytes)
{
    if (!m_reservation || m_reservation->resize(bytes))
        return true;
    fail_exchange(exchange_result::incomplete, memory_limit_cause);
    return false;
}

void client_connection::release_memory()
{
    m_parser.reset();
    m_buffer.clear();
    if (m_buffer.capacity() > max_kept_buffer_bytes)
        m_buffer.shrink_to_fit();
    m_reservation.reset();
}

void client_connection::fail_exchange(exchange_result result, const std::string& cause,
                                      bool is_reset)
{
    const completion_handler on_completion = std::move(m_completion_handler);
    close();
    on_completion({result, {}, cause, is_reset});
}

void client_connection::close()
{
    m_completion_handler = nullptr;
    m_connected = false;
    m_reusable = false;
    ++m_idle_watch_id;
    // The connection is discarded, so an error while closing has no effect.
    error_code ignored;
    m_stream.socket().close(ignored);
    release_memory();
}

void client_connection::watch_idle(std::function<void()> on_closed)
{
    const std::uint64_t watch = ++m_idle_watch_id;
    m_stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), watch, on_closed = std::move(on_closed)](error_code /*error*/) {
            if (self->m_idle_watch_id != watch)
                return;
            self->close();
            on_closed();
        });
}

std::shared_ptr<client_connection> make_connection(asio::io_context& io, const std::string& address,
                                                   milliseconds connect_timeout,
                                                   byte_budget& budget)
{
    const auto parsed = parse_endpoint(address);
    return std::make_shared<client_connection>(io, parsed.value_or(endpoint{"127.0.0.1", 9}),
                                               connect_timeout, &budget);
}

std::shared_ptr<client_connection>
take_idle_connection(std::vector<std::shared_ptr<client_connection>>& idle)
{
    while (!idle.empty()) {
        auto connection = idle.back();
        idle.pop_back();
        if (connection->can_be_reused_now())
            return connection;
        connection->close();
    }
    return nullptr;
}

} // namespace azureladder::sidecar_runtime
