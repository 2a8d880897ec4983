#pragma once

#include "websocket.hpp"

#include <azureladder/base/clock.hpp>
#include <azureladder/base/endpoint.hpp>
#include <azureladder/peer/transport_callbacks.hpp>
#include <azureladder/peer/transport_counters.hpp>
#include <azureladder/peer/transport_options.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace azureladder::peer {

/// State shared by all links of a transport.
struct link_context
{
    link_context(const clock& time, const transport_options& options)
        : m_clock(time), m_options(options)
    {
    }

    websocket_client m_client;
    const clock& m_clock;
    transport_options m_options;
    transport_counters m_counters;

    /// Reports a tracked frame that failed.
    std::function<void(frame_id, bool nothing_was_sent)> m_report_failure;
};

struct outgoing_frame
{
    frame_id m_id = 0;
    bool m_track = true;
    std::vector<std::uint8_t> m_bytes;
};

/// Outgoing connection to one node, opened when the first frame is sent.
class link : public std::enable_shared_from_this<link>
{
public:
    link(std::shared_ptr<link_context> shared, endpoint remote);

    /// Writes the frame when the link is open, queues it while the link opens, fails it otherwise.
    void send(outgoing_frame frame);

    /// Ends the tracking of a frame. A frame that is still queued is not sent.
    void stop_tracking(frame_id id);

    /// Handles the connect timeout, heartbeat and idle timeout. After a pause of the process,
    /// `paused` is true and the peer timeout starts again.
    void tick(time_point now, bool paused);

    /// Sends the queued frames and closes the link. Later frames fail.
    void close();

    bool is_closed() const { return m_state == state::closed; }

    /// Whether the link is closed and was unused for the idle timeout, so that it can be removed.
    bool is_removable(time_point now) const;

    /// Closes the connection at once, without reporting failed frames.
    void abort();

private:
    enum class state
    {
        closed,
        connecting,
        open,
        closing
    };

    void connect();
    void set_handlers(const client_connection& connection);
    void on_opened(std::uint64_t attempt);
    void on_lost(std::uint64_t attempt);
    void record_activity(std::uint64_t attempt);
    void fail_connection();
    client_connection release_connection();
    void abort_connection();
    void write(outgoing_frame frame);
    void fail(const outgoing_frame& frame);
    void start_closing(const char* reason);
    void check_peer_timeout(time_point now, bool paused);
    void close_if_idle(time_point now);

    std::shared_ptr<link_context> m_shared;
    endpoint m_remote;
    state m_state = state::closed;
    client_connection m_connection;
    bool m_close_when_open = false;

    /// Number of the current connection. Callbacks of an earlier one are ignored.
    std::uint64_t m_attempt = 0;

    std::deque<outgoing_frame> m_queue;
    std::size_t m_queued_bytes = 0;

    /// Tracked frames that were written and await their reply.
    std::set<frame_id> m_awaiting_reply;

    duration m_backoff{0};
    time_point m_retry_at{};
    time_point m_connect_started{};
    time_point m_last_used{};

    /// Time of the last reply or pong of the peer, or the time since which a reply is awaited.
    time_point m_last_activity{};
    time_point m_last_ping{};
};

} // namespace azureladder::peer
