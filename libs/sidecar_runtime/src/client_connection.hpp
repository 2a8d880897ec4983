#pragma once

#include "asio_types.hpp"
#include "byte_reservation.hpp"

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

class byte_budget;

enum class exchange_result
{
    answered,

    /// No byte of the request was sent.
    not_sent,

    /// Sent in part or as a whole, without a complete response.
    incomplete
};

struct exchange_outcome
{
    exchange_result m_result = exchange_result::incomplete;
    http_response m_response;
    std::string m_cause;

    /// The server reset the connection before the first byte of a response.
    bool m_is_reset = false;
};

/// One HTTP/1.1 connection to a server, with one exchange at a time. Never retries a request.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    /// Returns false for a response to another request; the connection then reads the next one.
    using response_filter = std::function<bool(const http_response&)>;
    using completion_handler = std::function<void(exchange_outcome)>;

    /// Called just before the first byte is sent; false ends the exchange as not_sent.
    using send_condition = std::function<bool()>;

    /// Without a budget, only each exchange by itself is limited.
    client_connection(asio::io_context& io, const endpoint& address, milliseconds connect_timeout,
                      byte_budget* budget = nullptr);

    /// Restricts exchanges to the first established connection: it is not reopened after its end,
    /// and a request is sent only if `may_send` returns true.
    void restrict_to_first_connection(send_condition may_send);

    /// Connects first if necessary. Replaces an idle connection that the peer has closed, or on
    /// which it has sent bytes, which would be read as the response. Calls `on_completion` once,
    /// unless close() is called before.
    void exchange(const http_request& request, milliseconds timeout, response_filter filter,
                  completion_handler on_completion);

    /// Closes the connection without calling the completion handler.
    void close();

    /// Whether another exchange can use this connection.
    bool is_reusable() const { return m_reusable; }

    /// Whether the connection is reusable and the server's keep-alive time has not expired.
    bool can_be_reused_now() const
    {
        return m_reusable && std::chrono::steady_clock::now() < m_reuse_deadline;
    }

    /// Calls `on_closed` when the peer closes the idle connection or sends bytes without a request.
    void watch_idle(std::function<void()> on_closed);

private:
    bool has_no_pending_input();

    /// Builds the message to send. Throws std::exception for a method or header that HTTP does not
    /// allow.
    void build_message(const http_request& request);

    void connect();
    void send();
    void start_response_parser();
    void read_some();
    void on_read(error_code error);

    /// Whether the connection failed before the server ended its output.
    bool is_broken_off() const;

    error_code parse();
    bool try_complete();

    /// Reserves the memory that the exchange uses. Otherwise fails it and returns false.
    bool reserve_used_bytes();
    bool reserve(std::size_t bytes);

    /// Releases the memory of a response that is of no use any more.
    void release_memory();

    void fail_exchange(exchange_result result, const std::string& cause, bool is_reset = false);

    asio::io_context& m_io;
    boost::beast::tcp_stream m_stream;
    tcp::endpoint m_address;
    milliseconds m_connect_timeout;
    byte_budget* m_budget;
    bool m_connected = false;
    bool m_has_connected = false;
    send_condition m_send_condition;
    bool m_reusable = false;
    std::chrono::steady_clock::time_point m_reuse_deadline;

    boost::beast::http::request<boost::beast::http::string_body> m_request;
    boost::beast::flat_buffer m_buffer;

    /// Bytes read in this exchange, including responses that the filter rejected.
    std::size_t m_bytes_read = 0;

    int m_interim_responses = 0;

    /// Memory of the parsed header section.
    std::size_t m_header_bytes = 0;

    /// Empty between exchanges and without a budget.
    std::optional<byte_reservation> m_reservation;
    std::chrono::steady_clock::time_point m_deadline;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    milliseconds m_timeout{};
    response_filter m_response_filter;
    completion_handler m_completion_handler;
    bool m_is_request_written = false;

    /// The write failed before its first byte. False until the write has completed.
    bool m_nothing_sent = false;

    /// Error of the write if it failed.
    error_code m_write_error;
    std::uint64_t m_idle_watch_id = 0;
};

/// A connection to "IP:PORT"; its first exchange connects.
std::shared_ptr<client_connection> make_connection(asio::io_context& io, const std::string& address,
                                                   milliseconds connect_timeout,
                                                   byte_budget& budget);

/// Removes and returns the most recently used connection, which is the least likely to be closed.
/// Closes connections that can't be reused. Null when none is left.
std::shared_ptr<client_connection>
take_idle_connection(std::vector<std::shared_ptr<client_connection>>& idle);

} // namespace azureladder::sidecar_runtime
