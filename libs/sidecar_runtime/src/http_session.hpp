#pragma once

#include "asio_types.hpp"

#include <azureladder/routing/client_limits.hpp>
#include <azureladder/sidecar_runtime/http_message.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace azureladder::sidecar_runtime {

/// One accepted HTTP connection. Reads one request at a time and writes its response before it
/// reads the next.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    struct callbacks
    {
        /// A complete request was read. The handler calls respond() once, now or later.
        std::function<void(const std::shared_ptr<http_session>&, http_request)> m_on_request;

        /// The caller closed the connection before the response to its request. Called without
        /// m_on_request for a dropped request.
        std::function<void(const http_session&)> m_on_disconnect;

        /// The connection is closed.
        std::function<void(const http_session&)> m_on_closed;

        /// Current limits for requests.
        std::function<routing::client_limits()> m_limits;

        /// Whether connections are closed after their next response.
        std::function<bool()> m_is_draining;

        /// Drops a request without m_on_request if its caller has closed the connection before it
        /// was read. For requests that have no use without their response.
        bool m_drops_abandoned_requests = true;
    };

    http_session(tcp::socket socket, const callbacks& handlers);

    void start();
    void respond(const http_response& response);

    /// Whether the caller has not closed the connection. Reads bytes that it has sent after its
    /// request, because a close is visible behind them only.
    bool is_caller_connected();

private:
    void wait_for_request();
    void read_head();
    void read_body();
    void on_read(error_code error);
    void reject(int status);
    void watch_for_disconnect();
    void write(const http_response& response, bool keep_alive);
    void end();

    boost::beast::tcp_stream m_stream;
    const callbacks& m_handlers;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    bool m_awaits_response = false;
    bool m_is_head_request = false;
    bool m_keep_alive = true;
    bool m_is_closed = false;
    std::uint64_t m_request_count = 0;
};

} // namespace azureladder::sidecar_runtime
