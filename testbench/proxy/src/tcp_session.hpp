#pragma once

#include "stream_pipe.hpp"

#include <functional>
#include <memory>

namespace azureladder::proxy {

/// A relayed TCP connection.
class tcp_session : public std::enable_shared_from_this<tcp_session>
{
public:
    using tcp = boost::asio::ip::tcp;

    tcp_session(tcp::socket client, link_direction& forward, link_direction& backward,
                std::size_t max_queue_bytes);

    void start(const tcp::endpoint& target, std::function<void()> on_closed);

    /// Applies changed faults.
    void apply_faults();

    /// Resets both connections without calling `on_closed`.
    void reset();

private:
    void connect();
    void finish_direction(tcp::socket& sink, bool is_failed);
    void close();

    tcp::socket m_client;
    tcp::socket m_server;
    link_direction& m_forward;
    link_direction& m_backward;
    stream_pipe m_to_server;
    stream_pipe m_to_client;
    tcp::endpoint m_target;
    std::function<void()> m_on_closed;
    bool m_is_connecting = false;
    bool m_is_closed = false;
    int m_finished_directions = 0;
};

} // namespace azureladder::proxy
