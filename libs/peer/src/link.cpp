#include "link.hpp"

#include "socket_options.hpp"

#include <algorithm>
#include <utility>

namespace azureladder::peer {

link::link(std::shared_ptr<link_context> shared, endpoint remote)
    : m_shared(std::move(shared)), m_remote(std::move(remote))
{
}

void link::send(outgoing_frame frame)
{
    const auto now = m_shared->m_clock.now();
    m_last_used = now;
    if (frame.m_bytes.size() > m_shared->m_options.m_max_frame_bytes)
        return fail(frame);
    if (m_state == state::open)
        return write(std::move(frame));
    if (m_state == state::closing && !m_close_when_open)
        release_connection();
    if (m_state == state::closed && now >= m_retry_at && !m_close_when_open)
        connect();
    const bool fits =
        m_queued_bytes + frame.m_bytes.size() <= m_shared->m_options.m_max_queue_bytes;
    if (m_state != state::connecting || m_close_when_open || !fits)
        return fail(frame);
    m_queued_bytes += frame.m_bytes.size();
    m_queue.push_back(std::move(frame));
}

void link::stop_tracking(frame_id id)
{
    if (m_awaiting_reply.erase(id) > 0) {
        m_last_activity = m_shared->m_clock.now();
        return;
    }
    const auto found = std::find_if(m_queue.begin(), m_queue.end(),
                                    [id](const outgoing_frame& frame) { return frame.m_id == id; });
    if (found == m_queue.end())
        return;
    m_queued_bytes -= found->m_bytes.size();
    m_queue.erase(found);
}

void link::tick(time_point now, bool paused)
{
    const auto& options = m_shared->m_options;
    if (m_state == state::connecting && now - m_connect_started >= options.m_connect_timeout)
        fail_connection();
    if (m_state == state::open)
        check_peer_timeout(now, paused);
    if (m_state == state::open)
        close_if_idle(now);
}

void link::close()
{
    m_close_when_open = true;
    if (m_state == state::open)
        start_closing("stopping");
}

bool link::is_removable(time_point now) const
{
    return m_state == state::closed && now - m_last_used >= m_shared->m_options.m_idle_timeout;
}

void link::abort()
{
    m_queue.clear();
    m_queued_bytes = 0;
    m_awaiting_reply.clear();
    abort_connection();
}

void link::connect()
{
    ++m_attempt;
    m_connect_started = m_shared->m_clock.now();
    websocketpp::lib::error_code error;
    auto connection = m_shared->m_client.get_connection("ws://" + to_string(m_remote), error);
    if (error)
        return fail_connection();
    set_handlers(connection);
    m_connection = connection;
    m_state = state::connecting;
    m_shared->m_client.connect(connection);
}

void link::set_handlers(const client_connection& connection)
{
    using websocketpp::connection_hdl;
    const auto self = shared_from_this();
    const auto attempt = m_attempt;
    auto* raw = connection.get();
    connection->set_tcp_pre_init_handler(
        [raw](const connection_hdl&) { set_socket_options(raw->get_raw_socket()); });
    connection->set_open_handler(
        [self, attempt](const connection_hdl&) { self->on_opened(attempt); });
    connection->set_fail_handler(
        [self, attempt](const connection_hdl&) { self->on_lost(attempt); });
    connection->set_close_handler(
        [self, attempt](const connection_hdl&) { self->on_lost(attempt); });
    connection->set_pong_handler([self, attempt](const connection_hdl&, const std::string&) {
        self->record_activity(attempt);
    });
    connection->set_open_handshake_timeout(to_ms(m_shared->m_options.m_connect_timeout));
    // A peer sends only control frames on this connection.
    connection->set_max_message_size(0);
}

void link::on_opened(std::uint64_t attempt)
{
    if (attempt != m_attempt)
        return;
    ++m_shared->m_counters.m_links_opened;
    m_state = state::open;
    m_backoff = duration(0);
    m_last_activity = m_shared->m_clock.now();
    m_last_ping = m_last_activity;
    auto queue = std::exchange(m_queue, {});
    m_queued_bytes = 0;
    for (auto& frame : queue)
        write(std::move(frame));
    if (m_close_when_open)
        start_closing("stopping");
}

void link::on_lost(std::uint64_t attempt)
{
    if (attempt == m_attempt)
        fail_connection();
}

void link::record_activity(std::uint64_t attempt)
{
    if (attempt == m_attempt)
        m_last_activity = m_shared->m_clock.now();
}

/// Ends the connection, reports its frames as failed and starts the backoff.
void link::fail_connection()
{
    const auto& options = m_shared->m_options;
    const auto before = m_state;
    abort_connection();
    if (before == state::open)
        ++m_shared->m_counters.m_links_lost;
    if (before == state::closing)
        m_backoff = duration(0);
    else
        m_backoff = std::clamp(m_backoff * 2, options.m_initial_backoff, options.m_max_backoff);
    m_retry_at = m_shared->m_clock.now() + m_backoff;
    for (const auto& frame : std::exchange(m_queue, {}))
        fail(frame);
    m_queued_bytes = 0;
    for (const auto id : std::exchange(m_awaiting_reply, {})) {
        ++m_shared->m_counters.m_frames_failed;
        m_shared->m_report_failure(id, false);
    }
}

/// Releases the connection, whose closing handshake may still be in progress.
client_connection link::release_connection()
{
    ++m_attempt;
    m_state = state::closed;
    return std::exchange(m_connection, nullptr);
}

void link::abort_connection()
{
    const auto connection = release_connection();
    if (!connection)
        return;
    // Closing the socket makes websocketpp complete all operations on it with an error.
    boost::system::error_code ignored;
    connection->get_raw_socket().close(ignored);
}

void link::write(outgoing_frame frame)
{
    const auto& options = m_shared->m_options;
    auto& counters = m_shared->m_counters;
    const auto size = frame.m_bytes.size();
    if (m_connection->get_buffered_amount() + size > options.m_max_queue_bytes)
        return fail(frame);
    const auto error =
        m_connection->send(frame.m_bytes.data(), size, websocketpp::frame::opcode::binary);
    if (error)
        return fail(frame);
    ++counters.m_frames_sent;
    counters.m_bytes_sent += size;
    if (!frame.m_track)
        return;
    if (m_awaiting_reply.empty())
        m_last_activity = m_shared->m_clock.now();
    m_awaiting_reply.insert(frame.m_id);
}

/// Reports a frame of which no byte was written.
void link::fail(const outgoing_frame& frame)
{
    ++m_shared->m_counters.m_frames_failed;
    if (frame.m_track)
        m_shared->m_report_failure(frame.m_id, true);
}

void link::check_peer_timeout(time_point now, bool paused)
{
    const auto& options = m_shared->m_options;
    if (m_awaiting_reply.empty())
        return;
    if (paused)
        m_last_activity = now;
    if (now - m_last_activity >= options.m_peer_timeout)
        return fail_connection();
    const bool due = now - std::max(m_last_ping, m_last_activity) >= options.m_ping_interval;
    if (!due)
        return;
    m_last_ping = now;
    websocketpp::lib::error_code ignored;
    m_connection->ping("", ignored);
}

void link::close_if_idle(time_point now)
{
    if (!m_awaiting_reply.empty() || now - m_last_used < m_shared->m_options.m_idle_timeout)
        return;
    start_closing("idle");
}

/// The peer answers the close frame after it has read all earlier frames. Without an answer
/// websocketpp ends the connection after `timeout_close_handshake`.
void link::start_closing(const char* reason)
{
    m_state = state::closing;
    websocketpp::lib::error_code error;
    m_connection->close(websocketpp::close::status::going_away, reason, error);
    if (error)
        fail_connection();
}

} // namespace azureladder::peer
