#pragma once

#include "asio_types.hpp"

#include <azureladder/sidecar_runtime/http_message.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azureladder::sidecar_runtime {

enum class exchange_result
{
    answered,

    /// No byte of the request was sent.
    not_sent,

    /// Sent in part or whole, without a complete answer.
    incomplete
};

struct exchange_outcome
{
    exchange_result m_result = exchange_result::incomplete;
    http_response m_response;
    std::string m_cause;
};

/// One HTTP/1.1 connection to a server, one exchange at a time. Nothing is ever sent twice.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    /// Returns false for an answer that belongs to no open request; the next one is read then.
    using response_filter = std::function<bool(const http_response&)>;
    using completion_handler = std::function<void(exchange_outcome)>;

    /// Asked just before the first byte; false ends the exchange as not sent.
    using send_condition = std::function<bool()>;

    client_connection(asio::io_context& io, const endpoint& address, milliseconds connect_timeout);

    /// Keeps exchanges to the first connection that is established: none is replaced, and no
    /// request is sent for which `may_send` is false.
    void restrict_to_first_connection(send_condition may_send);

    /// Connects first when needed, also when the other end has closed the idle connection or has
    /// sent bytes on it, which would be taken for the answer. `done` is called once, unless the
    /// connection is closed.
    void exchange(const http_request& request, milliseconds timeout, response_filter filter,
                  completion_handler on_completion);

    /// Closes the connection without calling `done`.
    void close();

    /// Whether another exchange may follow on this connection.
    bool is_reusable() const { return m_reusable; }

    /// Whether the other end keeps the idle connection open for another exchange now.
    bool can_be_reused_now() const
    {
        return m_reusable && std::chrono::steady_clock::now() < m_reuse_deadline;
    }

    /// Calls `closed` when the other end closes the idle connection or sends bytes unasked.
    void watch_idle(std::function<void()> on_closed);

private:
    bool has_no_pending_input();
    void connect();
    void send();
    void start_response_parser();
    void read_some();
    void on_read(error_code error);
    error_code parse();
    bool try_complete();
    void fail_exchange(exchange_result result, const std::string& cause);

    asio::io_context& m_io;
    boost::beast::tcp_stream m_stream;
    tcp::endpoint m_address;
    milliseconds m_connect_timeout;
    bool m_connected = false;
    bool m_has_connected = false;
    send_condition m_send_condition;
    bool m_reusable = false;
    std::chrono::steady_clock::time_point m_reuse_deadline;

    boost::beast::http::request<boost::beast::http::string_body> m_request;
    boost::beast::flat_buffer m_buffer;

    /// Bytes read in this exchange, those that are no answer to its request included.
    std::size_t m_bytes_read = 0;
    std::chrono::steady_clock::time_point m_deadline;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    milliseconds m_timeout{};
    response_filter m_response_filter;
    completion_handler m_completion_handler;
    bool m_is_request_written = false;

    /// The writing failed before its first byte. Unknown, and so false, while it is under way.
    bool m_nothing_sent = false;
    std::uint64_t m_idle_watch_id = 0;
};

/// A connection to "IP:PORT", which is opened by its first exchange.
std::shared_ptr<client_connection> make_connection(asio::io_context& io, const std::string& address,
                                                   milliseconds connect_timeout);

/// Takes the connection that was used last, the least likely to be closed, and closes those that
/// can't be used any more. Null when none is left.
std::shared_ptr<client_connection>
take_idle_connection(std::vector<std::shared_ptr<client_connection>>& idle);

} // namespace azureladder::sidecar_runtime
