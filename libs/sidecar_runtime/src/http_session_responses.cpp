#include "http_session.hpp"

#include <boost/beast/http/write.hpp>

#include "byte_budget.hpp"

#include <algorithm>

namespace azureladder::sidecar_runtime {

namespace http = boost::beast::http;

namespace {

/// Longest time to write a response.
constexpr std::chrono::seconds write_timeout{30};

/// Longest time for which input is discarded after the last response.
constexpr std::chrono::milliseconds closing_timeout{500};

/// Status of a request whose handler failed. It says nothing about an execution.
constexpr int failed_handler_status = 500;

/// Status in place of a response that can't be written.
constexpr int unwritable_response_status = 502;

} // namespace

void http_session::dispatch_ready()
{
    bool may_overlap = !m_handlers.m_is_draining();
    for (std::size_t i = 0; i < m_exchanges.size() && !m_is_closed; ++i) {
        exchange& pending = m_exchanges[i];
        if (!pending.m_is_dispatched) {
            if (i > 0 && (!may_overlap || !m_handlers.m_may_overlap ||
                          !m_handlers.m_may_overlap(pending.m_request)))
                return;
            pending.m_is_dispatched = true;
            const std::uint64_t number = pending.m_number;
            const bool result = handle_request(number, std::move(pending.m_request));
            // The handler adds and removes no exchange.
            m_exchanges[i].m_may_overlap = result;
        }
        may_overlap = may_overlap && m_exchanges[i].m_may_overlap;
    }
}

bool http_session::handle_request(std::uint64_t number, http_request request)
{
    try {
        return m_handlers.m_on_request(shared_from_this(), number, std::move(request));
    } catch (const std::exception& error) {
        if (m_handlers.m_on_rejected)
            m_handlers.m_on_rejected(failed_handler_status, error.what());
        // The connection is closed, because the handler may have left the state of this request.
        m_is_last_request_read = true;
        m_exchanges.back().m_keep_alive = false;
        respond(number, {failed_handler_status, {}, "request could not be handled\n"});
        return false;
    }
}

void http_session::respond(std::uint64_t number, const http_response& response)
{
    const auto found =
        std::find_if(m_exchanges.begin(), m_exchanges.end(),
                     [&](const exchange& pending) { return pending.m_number == number; });
    if (m_is_closed || found == m_exchanges.end() || found->m_response)
        return;
    found->m_response = response;
    found->m_request_memory = 0;
    found->m_response_memory =
        response.m_body.size() + response.m_headers.size() * field_overhead_bytes;
    // Closing the connection here would remove requests that are being handled.
    if (!reserve_requests() || !reserve_responses())
        end_later();
    write_ready();
}

void http_session::write_ready()
{
    if (m_is_writing || m_is_closing || m_is_closed || m_exchanges.empty() ||
        !m_exchanges.front().m_response)
        return;
    set_writing(true);
    exchange& answered = m_exchanges.front();
    const bool has_successor = m_exchanges.size() > 1 && m_exchanges[1].m_is_dispatched;
    const bool keep_alive = answered.m_keep_alive && (has_successor || !m_handlers.m_is_draining());
    try {
        build_response(std::move(*answered.m_response), answered.m_is_head_request, keep_alive);
    } catch (const std::exception& error) {
        if (m_handlers.m_on_rejected)
            m_handlers.m_on_rejected(unwritable_response_status, error.what());
        build_response({unwritable_response_status, {}, "response can't be written\n"},
                       answered.m_is_head_request, keep_alive);
    }
    m_stream.expires_after(write_timeout);
    http::async_write(m_stream, m_response,
                      [self = shared_from_this(), keep_alive](error_code error, std::size_t) {
                          self->set_writing(false);
                          if (self->m_is_closed)
                              return;
                          if (error)
                              self->end();
                          else
                              self->on_written(keep_alive);
                      });
}

void http_session::build_response(http_response response, bool is_head_request, bool keep_alive)
{
    m_response = {};
    m_response.version(11);
    m_response.result(static_cast<unsigned>(response.m_status));
    for (const auto& field : response.m_headers)
        m_response.insert(field.m_name, field.m_value);
    if (!is_head_request)
        m_response.body() = std::move(response.m_body);
    m_response.prepare_payload();
    m_response.keep_alive(keep_alive);
}

bool http_session::reserve_responses()
{
    if (m_handlers.m_response_budget == nullptr)
        return true;
    std::size_t bytes = 0;
    for (const auto& pending : m_exchanges)
        bytes += pending.m_response_memory;
    if (!m_response_memory) {
        m_response_memory.emplace(*m_handlers.m_response_budget, [this] { end_later(); });
        if (m_is_writing)
            m_response_memory->set_waiting_since(m_write_started_at);
    }
    return m_response_memory->resize(bytes, std::chrono::steady_clock::now());
}

void http_session::end_later()
{
    asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->drop("memory"); });
}

void http_session::drop(const char* cause)
{
    if (!m_is_closed && m_handlers.m_on_dropped)
        m_handlers.m_on_dropped(cause);
    end();
}

std::optional<http_session::session_time> http_session::waiting_since() const
{
    if (m_is_writing)
        return m_write_started_at;
    if (m_is_closing || m_exchanges.empty())
        return m_parser ? m_request_started_at : m_idle_since;
    return std::nullopt;
}

bool http_session::is_idle_after_response() const
{
    return m_has_sent_response && m_exchanges.empty() && !m_parser && m_buffer.size() == 0;
}

void http_session::set_writing(bool is_writing)
{
    m_is_writing = is_writing;
    m_write_started_at = std::chrono::steady_clock::now();
    const auto since = is_writing ? std::optional(m_write_started_at) : std::nullopt;
    if (m_request_memory) {
        m_request_memory->set_revocable(is_writing);
        m_request_memory->set_waiting_since(since);
    }
    if (m_response_memory)
        m_response_memory->set_waiting_since(since);
    if (m_handlers.m_on_write)
        m_handlers.m_on_write(is_writing);
}

void http_session::on_written(bool keep_alive)
{
    m_exchanges.pop_front();
    // Assigning an empty string would keep the memory of the body.
    std::string().swap(m_response.body());
    m_has_sent_response = true;
    m_idle_since = std::chrono::steady_clock::now();
    // Reservations that shrink can't fail.
    static_cast<void>(reserve_responses());
    if (!keep_alive || (m_exchanges.empty() && m_is_last_request_read)) {
        close_gracefully();
        return;
    }
    dispatch_ready();
    write_ready();
    process_input();
}

void http_session::close_gracefully()
{
    m_is_closing = true;
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    const auto unanswered = std::move(m_exchanges);
    m_exchanges.clear();
    m_request_memory.reset();
    m_response_memory.reset();
    for (const auto& pending : unanswered) {
        if (pending.m_is_dispatched && !pending.m_response)
            m_handlers.m_on_disconnect(*this, pending.m_number);
    }
    m_timer.expires_after(closing_timeout);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error)
            self->end();
    });
    process_input();
}

void http_session::end()
{
    if (m_is_closed)
        return;
    m_is_closed = true;
    m_timer.cancel();
    m_input_memory.reset();
    m_request_memory.reset();
    m_response_memory.reset();
    // The connection is discarded, so an error while closing has no effect.
    error_code ignored;
    m_stream.socket().close(ignored);
    const auto unanswered = std::move(m_exchanges);
    m_exchanges.clear();
    for (const auto& pending : unanswered) {
        if (pending.m_is_dispatched && !pending.m_response)
            m_handlers.m_on_disconnect(*this, pending.m_number);
    }
    m_handlers.m_on_closed(*this);
}

} // namespace azureladder::sidecar_runtime
