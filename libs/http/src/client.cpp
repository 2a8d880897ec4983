#include <azureladder/http/client.hpp>

#include "connection_pool.hpp"
#include "request_serializer.hpp"
#include "response_reader.hpp"

#include <azureladder/base/scope_guard.hpp>

#include <algorithm>

namespace azureladder::http {

namespace {

using kind = client_error_kind;

client_error connect_error(io_status status)
{
    switch (status) {
    case io_status::cancelled:
        return {kind::not_sent, "cancelled while connecting"};
    case io_status::timed_out:
        return {kind::connect_failed, "the connection was not established within the timeout"};
    default:
        return {kind::connect_failed, "the server refused the connection or the connection failed"};
    }
}

/// Error of an incomplete write. Bytes that the kernel accepted count as sent.
client_error write_error(const io_result& written)
{
    const bool cancelled = written.m_status == io_status::cancelled;
    if (written.m_bytes == 0)
        return {cancelled ? kind::not_sent : kind::connect_failed,
                "the connection failed before the first byte was written"};
    if (cancelled)
        return {kind::cancelled, "cancelled while writing the request"};
    if (written.m_status == io_status::timed_out)
        return {kind::timed_out, "the request was not completely written within the timeout"};
    return {kind::lost, "the connection failed while the request was written"};
}

bool is_cancelled(const execute_options& options)
{
    return options.m_cancel_token != nullptr && options.m_cancel_token->cancelled();
}

} // namespace

class client::impl
{
public:
    impl(endpoint server, client_options options)
        : m_server(std::move(server)), m_options(options), m_pool(m_options)
    {
    }

    result<response, client_error> execute(const request& message, const execute_options& options);

    const endpoint m_server;

private:
    struct exchange
    {
        const execute_options& m_options;
        io_limits m_limits;
        std::string m_method;
        std::string m_serialized_request;
    };

    /// Returns an idle connection of the pool if `allow_pooled` and there is one, otherwise a new
    /// connection. `from_pool` reports which.
    result<std::unique_ptr<connection>, client_error>
    acquire_connection(const exchange& current, bool allow_pooled, bool& from_pool);
    result<response, client_error> send_and_receive(const exchange& current, bool allow_pooled);
    result<response, client_error> receive_response(const exchange& current,
                                                    std::unique_ptr<connection> used);

    const client_options m_options;
    connection_pool m_pool;
};

result<response, client_error> client::impl::execute(const request& message,
                                                     const execute_options& options)
{
    const bool pooled = options.m_connection == connection_use::pooled;
    auto text = serialize_request(message, to_string(m_server), pooled);
    if (!text)
        return client_error{kind::not_sent,
                            "the method, the target or a header of the request is not valid HTTP"};
    if (is_cancelled(options))
        return client_error{kind::not_sent, "cancelled before the exchange started"};
    const int cancel = options.m_cancel_token ? options.m_cancel_token->descriptor() : -1;
    const io_limits limits{io_now() + options.m_timeout, cancel};
    if (!m_pool.acquire_slot(limits.m_deadline, options.m_cancel_token.get()))
        return client_error{is_cancelled(options) ? kind::not_sent : kind::connect_failed,
                            "the connection limit is reached; no connection was released in time"};
    const scope_guard release([this] { m_pool.release_slot(); });
    return send_and_receive({options, limits, message.m_method, std::move(*text)}, pooled);
}

result<std::unique_ptr<connection>, client_error>
client::impl::acquire_connection(const exchange& current, bool allow_pooled, bool& from_pool)
{
    std::unique_ptr<connection> obtained;
    if (allow_pooled)
        obtained = m_pool.take_idle();
    from_pool = obtained != nullptr;
    if (from_pool)
        return obtained;
    m_pool.evict_excess_idle();
    auto limits = current.m_limits;
    limits.m_deadline = std::min(limits.m_deadline, io_now() + m_options.m_connect_timeout);
    const auto status = connection::open(m_server, limits, obtained);
    if (status != io_status::ok)
        return connect_error(status);
    return obtained;
}

result<response, client_error> client::impl::send_and_receive(const exchange& current,
                                                              bool allow_pooled)
{
    bool from_pool = false;
    auto obtained = acquire_connection(current, allow_pooled, from_pool);
    if (!obtained)
        return obtained.error();
    auto used = std::move(obtained.value());
    const auto& before_send = current.m_options.m_before_send;
    if (is_cancelled(current.m_options) || (before_send && !before_send())) {
        if (from_pool)
            m_pool.return_connection(std::move(used));
        return client_error{kind::not_sent, "cancelled, or rejected by the check before sending, "
                                            "before the first byte was written"};
    }
    const auto written = used->write(current.m_serialized_request, current.m_limits);
    if (written.m_status == io_status::ok)
        return receive_response(current, std::move(used));
    // The server closed the pooled connection after the check for reuse. No byte was sent, so the
    // request cannot have been executed.
    if (from_pool && written.m_bytes == 0 && written.m_status == io_status::failed)
        return send_and_receive(current, false);
    if (written.m_bytes > 0 && written.m_status == io_status::failed) {
        // The server may have responded before it read the complete request, for example with 413.
        auto early = receive_response(current, std::move(used));
        if (early)
            return early;
    }
    return write_error(written);
}

result<response, client_error> client::impl::receive_response(const exchange& current,
                                                              std::unique_ptr<connection> used)
{
    response_reader reader(*used, current.m_limits, m_options);
    auto reply = reader.read(current.m_method);
    const bool keep = current.m_options.m_connection == connection_use::pooled;
    if (reply && keep && reader.reusable())
        m_pool.return_connection(std::move(used));
    return reply;
}

client::client(endpoint server, client_options options)
    : m_impl(std::make_unique<impl>(std::move(server), options))
{
}

client::~client() = default;

result<response, client_error> client::execute(const request& message,
                                               const execute_options& options)
{
    return m_impl->execute(message, options);
}

const endpoint& client::server_address() const
{
    return m_impl->m_server;
}

} // namespace azureladder::http
