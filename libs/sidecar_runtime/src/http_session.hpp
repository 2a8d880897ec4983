#pragma once

#include "asio_types.hpp"
#include "byte_reservation.hpp"

#include <azureladder/routing/client_limits.hpp>
#include <azureladder/sidecar_runtime/http_message.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace azureladder::sidecar_runtime {

class byte_budget;

/// One accepted HTTP connection. Requests that are sent before earlier ones have been answered
/// (pipelined) may be handled at the same time; responses leave in the order of the requests.
/// Requests behind a response that closes the connection are not handled, so their caller may send
/// them again.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    using session_time = std::chrono::steady_clock::time_point;

    struct callbacks
    {
        /// A complete request was read. The handler calls respond() once with its number, now or
        /// later. Returns whether later requests may be handled before this one is answered.
        std::function<bool(const std::shared_ptr<http_session>&, std::uint64_t number,
                           http_request)>
            m_on_request;

        /// The response to a request is of no use any more: its caller has closed the connection,
        /// or an earlier response closes it. Called without m_on_request for a dropped request.
        std::function<void(const http_session&, std::uint64_t number)> m_on_disconnect;

        /// A request could not be read, or its handler or the sending of its response failed. The
        /// request has its response or its connection is closed. May be null.
        std::function<void(int status, const std::string& cause)> m_on_rejected;

        /// The connection is about to be closed for the sake of others. May be null.
        std::function<void(const char* cause)> m_on_dropped;

        /// The connection is closed.
        std::function<void(const http_session&)> m_on_closed;

        /// Current limits for requests.
        std::function<routing::client_limits()> m_limits;

        /// Whether connections are closed after their next response.
        std::function<bool()> m_is_draining;

        /// Whether a request may be handled before the earlier ones on its connection have been
        /// answered. Null for none.
        std::function<bool(const http_request&)> m_may_overlap;

        /// The sending of a response has begun (true) or ended (false). May be null.
        std::function<void(bool)> m_on_write;

        /// Drops a request without m_on_request if its caller has closed the connection before it
        /// was read. For requests that have no use without their response.
        bool m_drops_abandoned_requests = true;

        /// Memory of requests that are being read or have no response yet, and of responses that
        /// are not sent. Null for no limit of all connections together.
        byte_budget* m_request_budget = nullptr;
        byte_budget* m_response_budget = nullptr;
    };

    http_session(tcp::socket socket, const callbacks& handlers);

    void start();

    /// Sends the response to the request with this number, or keeps it until the earlier requests
    /// have been answered.
    void respond(std::uint64_t number, const http_response& response);

    /// Since when the connection waits for its client, which sends no complete request or does not
    /// read a response. Nothing while the node owes a response.
    std::optional<session_time> waiting_since() const;

    /// Whether the client has had a response and begun no further request.
    bool is_idle_after_response() const;

    /// Closes the connection at once.
    void end();

    /// Same for the sake of other connections.
    void drop(const char* cause);

    /// Whether the caller has not closed the connection. Reads bytes that it has sent after its
    /// request, because a close is visible behind them only.
    bool is_caller_connected();

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// A request that was read and whose response has not been sent completely.
    struct exchange
    {
        std::uint64_t m_number = 0;
        http_request m_request;
        std::size_t m_bytes = 0;

        /// Memory of the request until it has its response, and of the response until it is sent.
        std::size_t m_request_memory = 0;
        std::size_t m_response_memory = 0;
        bool m_is_head_request = false;
        bool m_keep_alive = true;

        /// It may be handled at the same time as other such requests.
        bool m_may_overlap = false;
        bool m_is_dispatched = false;
        std::optional<http_response> m_response;
    };

    /// What the connection waits for, which determines its timeout.
    enum class phase
    {
        idle,
        header,
        body,
        response
    };

    bool may_read_request() const;

    /// Limit of buffered bytes.
    std::size_t max_buffered_bytes() const;
    void wait_for_input();
    void read_available();
    void process_input();

    /// Calls the handler of a request. Responds in its place if it throws.
    bool handle_request(std::uint64_t number, http_request request);

    /// Builds the message to send. Throws std::exception for a status or header that HTTP does not
    /// allow.
    void build_response(http_response response, bool is_head_request, bool keep_alive);

    /// Parses buffered bytes. Returns false when more bytes are needed.
    bool parse_request();

    /// Passes input to the parser. Returns the number of bytes used.
    std::size_t parse(error_code& error);

    /// Sends the interim response if the caller waits for it. Returns false while it has to wait
    /// for earlier responses or for the end of its sending.
    bool continue_if_expected();

    void add_request();

    /// Reserves the memory of the request that is being read. Returns false when it exceeds the
    /// limit.
    bool reserve_input();

    /// Reserves the memory of all requests without a response, or of all responses. Returns false
    /// when it exceeds the limit.
    bool reserve_requests();
    bool reserve_responses();

    /// Has the connection closed by a later handler.
    void end_later();
    void release_input();
    void reject(int status);
    void on_end_of_input();
    void dispatch_ready();
    void write_ready();
    void set_writing(bool is_writing);
    void on_written(bool keep_alive);
    void update_timeout();
    void on_timeout();

    /// Discards input until the caller closes the connection, because closing with unread bytes
    /// could destroy the last response on its way.
    void close_gracefully();

    boost::beast::tcp_stream m_stream;
    asio::steady_timer m_timer;
    const callbacks& m_handlers;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::optional<byte_reservation> m_input_memory;
    std::optional<byte_reservation> m_request_memory;
    std::optional<byte_reservation> m_response_memory;

    /// Memory of the header fields of the request that is being read.
    std::size_t m_header_memory = 0;
    session_time m_request_started_at;
    session_time m_write_started_at;
    session_time m_idle_since;
    std::deque<exchange> m_exchanges;
    std::uint64_t m_next_number = 1;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    phase m_phase = phase::idle;

    /// The caller has closed the connection, or reading has failed.
    bool m_is_input_ended = false;

    /// No further request is read: the last one closes the connection or was malformed.
    bool m_is_last_request_read = false;
    bool m_is_waiting = false;
    bool m_is_processing = false;
    bool m_is_writing = false;
    bool m_is_continue_sent = false;
    bool m_has_sent_response = false;
    bool m_is_closing = false;
    bool m_is_closed = false;
};

} // namespace azureladder::sidecar_runtime
