#include "http_session.hpp"

#include "byte_budget.hpp"

#include <azureladder/base/scope_guard.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <stdexcept>

namespace azureladder::sidecar_runtime {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t read_bytes = 4096;

/// Largest buffer of a connection without input. It has room for two reads, so that ordinary
/// requests do not allocate it again.
constexpr std::size_t max_idle_buffer_bytes = 2 * read_bytes;

/// Limit of bytes that are read ahead while no further request is read. A disconnect behind more
/// bytes is not detected.
constexpr std::size_t max_read_ahead_bytes = 16U * 1024;

/// Limit of buffered bytes of a request in progress beside the largest header. A body is moved
/// from the buffer as it arrives.
constexpr std::size_t max_body_buffer_bytes = 64U * 1024;

/// Limits of the requests of one connection that wait for their responses. Beyond them no further
/// request is read, so that a caller can't bind more memory and servers.
constexpr std::size_t max_exchanges = 16;
constexpr std::size_t max_exchange_bytes = 256U * 1024;

/// Memory of requests that are read from one connection in one pass of the event loop. Beyond it
/// the other connections come first.
constexpr std::size_t max_pass_memory = 256U * 1024;

/// Longest time to read the body of a request, and to write an interim response.
constexpr std::chrono::seconds transfer_timeout{30};

/// Status of a request that was not read completely because other requests need the memory.
constexpr int out_of_memory_status = 503;

int status_for_error(error_code error)
{
    if (error == http::error::header_limit)
        return 431;
    if (error == http::error::body_limit)
        return 413;
    return 400;
}

std::size_t memory_of(const http::fields& fields)
{
    std::size_t bytes = 0;
    for (const auto& field : fields)
        bytes += field.name_string().size() + field.value().size() + field_overhead_bytes;
    return bytes;
}

http_request to_request(http::request<http::string_body>& message)
{
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
    return request;
}

} // namespace

http_session::http_session(tcp::socket socket, const callbacks& handlers)
    : m_stream(std::move(socket)), m_timer(m_stream.get_executor()), m_handlers(handlers)
{
}

void http_session::start()
{
    set_connection_options(m_stream.socket());
    error_code error;
    m_stream.socket().non_blocking(true, error);
    if (error) {
        end();
        return;
    }
    m_phase = phase::response;
    m_idle_since = std::chrono::steady_clock::now();
    update_timeout();
    wait_for_input();
}

bool http_session::may_read_request() const
{
    if (m_is_last_request_read || m_is_closing || m_exchanges.size() >= max_exchanges)
        return false;
    std::size_t bytes = 0;
    for (const auto& pending : m_exchanges)
        bytes += pending.m_bytes;
    return bytes < max_exchange_bytes;
}

std::size_t http_session::max_buffered_bytes() const
{
    return may_read_request() ? max_body_buffer_bytes + m_handlers.m_limits().m_max_header_bytes
                              : max_read_ahead_bytes;
}

void http_session::wait_for_input()
{
    if (m_is_waiting || m_is_closed || m_is_input_ended || m_buffer.size() >= max_buffered_bytes())
        return;
    // Connections are many, and few of them carry long bodies.
    if (m_buffer.size() == 0 && m_buffer.capacity() > max_idle_buffer_bytes)
        m_buffer.shrink_to_fit();
    m_is_waiting = true;
    m_stream.socket().async_wait(tcp::socket::wait_read,
                                 [self = shared_from_this()](error_code error) {
                                     self->m_is_waiting = false;
                                     if (self->m_is_closed)
                                         return;
                                     if (error)
                                         self->m_is_input_ended = true;
                                     self->process_input();
                                 });
}

void http_session::read_available()
{
    const std::size_t limit = max_buffered_bytes();
    while (!m_is_input_ended && m_buffer.size() < limit) {
        error_code error;
        const std::size_t size = m_stream.socket().read_some(m_buffer.prepare(read_bytes), error);
        m_buffer.commit(size);
        if (error == asio::error::would_block)
            return;
        if (error)
            m_is_input_ended = true;
        else if (size < read_bytes && !m_handlers.m_drops_abandoned_requests)
            return;
    }
}

bool http_session::is_caller_connected()
{
    if (m_is_closed)
        return false;
    const std::size_t former_size = m_buffer.size();
    read_available();
    // The bytes that were read here are reported by no later event of the socket.
    if (!m_is_processing && m_buffer.size() > former_size)
        asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->process_input(); });
    return !m_is_input_ended;
}

void http_session::process_input()
{
    // Responses that are sent while a request is handled may resume reading.
    if (m_is_processing || m_is_closed)
        return;
    m_is_processing = true;
    const auto self = shared_from_this();
    const scope_guard done([this] { m_is_processing = false; });
    if (m_is_closing) {
        m_buffer.clear();
        read_available();
        if (m_is_input_ended)
            end();
        else
            wait_for_input();
        return;
    }
    if (m_parser && m_parser->is_header_done())
        continue_if_expected();
    bool may_have_more = true;
    std::size_t pass_memory = 0;
    while (may_have_more && !m_is_closed) {
        read_available();
        const bool is_full = m_buffer.size() >= max_buffered_bytes();
        bool has_progress = false;
        while (!m_is_closed && pass_memory < max_pass_memory && may_read_request() &&
               m_buffer.size() > 0 && parse_request()) {
            has_progress = true;
            if (!m_parser && !m_exchanges.empty())
                pass_memory += m_exchanges.back().m_request_memory;
        }
        if (!m_is_closed && !m_is_closing && !reserve_input())
            reject(out_of_memory_status);
        may_have_more = is_full && has_progress && pass_memory < max_pass_memory;
    }
    if (m_is_closed)
        return;
    if (pass_memory >= max_pass_memory) {
        update_timeout();
        asio::post(m_stream.get_executor(), [self] { self->process_input(); });
        return;
    }
    if (m_is_input_ended) {
        on_end_of_input();
        return;
    }
    update_timeout();
    wait_for_input();
}

bool http_session::parse_request()
{
    if (!m_parser) {
        const auto limits = m_handlers.m_limits();
        m_parser.emplace();
        m_parser->header_limit(limits.m_max_header_bytes);
        m_parser->body_limit(limits.m_max_body_bytes);
        m_is_continue_sent = false;
        m_header_memory = 0;
        m_request_started_at = std::chrono::steady_clock::now();
    }
    if (m_parser->is_header_done()) {
        if (!continue_if_expected())
            return false;
        m_parser->eager(true);
    }
    error_code error;
    const std::size_t used = parse(error);
    m_buffer.consume(used);
    if (error && error != http::error::need_more) {
        reject(status_for_error(error));
        return false;
    }
    if (m_parser->is_done()) {
        add_request();
        return true;
    }
    // A chunk size line or trailers that do not fit into the buffer are never parsed.
    if (used == 0 && m_buffer.size() >= max_buffered_bytes()) {
        reject(status_for_error(http::error::header_limit));
        return false;
    }
    if (m_parser->is_header_done()) {
        if (m_header_memory == 0)
            m_header_memory = memory_of(m_parser->get());
        continue_if_expected();
    }
    return used > 0;
}

std::size_t http_session::parse(error_code& error)
{
    try {
        return m_parser->put(m_buffer.data(), error);
    } catch (const std::length_error&) {
        // A header field is longer than the list of fields can hold.
        error = http::error::header_limit;
        return 0;
    }
}

bool http_session::continue_if_expected()
{
    if (m_is_continue_sent ||
        !boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue"))
        return true;
    if (!m_exchanges.empty() || m_is_writing)
        return false;
    static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    m_is_continue_sent = true;
    set_writing(true);
    m_stream.expires_after(transfer_timeout);
    asio::async_write(m_stream, asio::buffer(continue_response),
                      [self = shared_from_this()](error_code error, std::size_t /*size*/) {
                          self->set_writing(false);
                          if (error)
                              self->end();
                          else
                              self->write_ready();
                      });
    return true;
}

void http_session::add_request()
{
    auto& message = m_parser->get();
    exchange added;
    added.m_number = m_next_number++;
    added.m_keep_alive = message.keep_alive();
    added.m_is_head_request = message.method() == http::verb::head;
    added.m_request = to_request(message);
    added.m_bytes = added.m_request.m_body.size();
    for (const auto& field : added.m_request.m_headers)
        added.m_bytes += field.m_name.size() + field.m_value.size();
    added.m_request_memory =
        added.m_bytes + added.m_request.m_headers.size() * field_overhead_bytes;
    m_parser.reset();
    m_is_last_request_read = !added.m_keep_alive;
    const std::uint64_t number = added.m_number;
    m_exchanges.push_back(std::move(added));
    if (m_handlers.m_drops_abandoned_requests && !is_caller_connected()) {
        m_exchanges.pop_back();
        m_handlers.m_on_disconnect(*this, number);
        return;
    }
    if (!reserve_requests()) {
        m_exchanges.pop_back();
        reject(out_of_memory_status);
        return;
    }
    dispatch_ready();
}

bool http_session::reserve_input()
{
    const std::size_t bytes =
        m_parser ? m_buffer.capacity() + m_header_memory + m_parser->get().body().capacity()
        : m_buffer.size() > 0 ? m_buffer.capacity()
                              : 0;
    if (m_handlers.m_request_budget == nullptr || (bytes == 0 && !m_input_memory))
        return true;
    if (!m_input_memory) {
        m_input_memory.emplace(*m_handlers.m_request_budget, [this] {
            const auto self = shared_from_this();
            reject(out_of_memory_status);
        });
    }
    m_input_memory->set_waiting_since(m_parser ? std::optional(m_request_started_at)
                                               : std::nullopt);
    return m_input_memory->resize(bytes, std::chrono::steady_clock::now());
}

bool http_session::reserve_requests()
{
    if (m_handlers.m_request_budget == nullptr)
        return true;
    std::size_t bytes = 0;
    for (const auto& pending : m_exchanges)
        bytes += pending.m_request_memory;
    if (!m_request_memory)
        m_request_memory.emplace(*m_handlers.m_request_budget, [this] { end_later(); });
    m_request_memory->set_revocable(m_is_writing);
    m_request_memory->set_waiting_since(m_is_writing ? std::optional(m_write_started_at)
                                                     : std::nullopt);
    return m_request_memory->resize(bytes, std::chrono::steady_clock::now());
}

void http_session::release_input()
{
    m_parser.reset();
    m_header_memory = 0;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_input_memory.reset();
}

void http_session::reject(int status)
{
    // Bytes behind the last request have no response of their own.
    if (m_is_last_request_read) {
        release_input();
        return;
    }
    if (m_handlers.m_on_rejected)
        m_handlers.m_on_rejected(status, "the request is malformed or exceeds a limit");
    release_input();
    exchange rejected;
    rejected.m_number = m_next_number++;
    rejected.m_keep_alive = false;
    rejected.m_is_dispatched = true;
    rejected.m_response.emplace();
    rejected.m_response->m_status = status;
    rejected.m_response->m_body = "request is malformed or exceeds a size limit\n";
    m_is_last_request_read = true;
    m_exchanges.push_back(std::move(rejected));
    write_ready();
}

void http_session::on_end_of_input()
{
    // A response to a malformed request may still be read by the caller.
    const bool awaits_response =
        std::any_of(m_exchanges.begin(), m_exchanges.end(),
                    [](const exchange& pending) { return !pending.m_response; });
    if (awaits_response || m_exchanges.empty())
        end();
}

void http_session::update_timeout()
{
    const phase current = m_parser && m_parser->is_header_done() ? phase::body
                          : m_parser || m_buffer.size() > 0
                              ? phase::header
                              : (m_exchanges.empty() ? phase::idle : phase::response);
    // Bytes that are read ahead are no request in progress.
    const phase next = !may_read_request() ? phase::response : current;
    if (next == m_phase && next != phase::idle)
        return;
    m_phase = next;
    if (next == phase::response) {
        m_timer.cancel();
        return;
    }
    const auto limits = m_handlers.m_limits();
    m_timer.expires_after(std::chrono::duration_cast<std::chrono::microseconds>(
        next == phase::idle     ? limits.m_idle_timeout
        : next == phase::header ? limits.m_header_timeout
                                : duration(transfer_timeout)));
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error && !self->m_is_closed)
            self->on_timeout();
    });
}

void http_session::on_timeout()
{
    // The handler may have been queued before the timer was set again.
    if (m_timer.expiry() > asio::steady_timer::clock_type::now())
        return;
    m_is_last_request_read = true;
    release_input();
    if (m_exchanges.empty() || m_is_closing)
        end();
    else
        m_exchanges.back().m_keep_alive = false;
}

} // namespace azureladder::sidecar_runtime
