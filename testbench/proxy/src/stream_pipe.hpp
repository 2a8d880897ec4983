#pragma once

#include "link_direction.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace azureladder::proxy {

/// One direction of a relayed TCP connection: reads from one socket, delays the data and writes it
/// to the other socket.
class stream_pipe
{
public:
    using tcp = boost::asio::ip::tcp;

    /// `owner` keeps the sockets and the pipe alive while an operation is pending.
    stream_pipe(tcp::socket& source, tcp::socket& sink, link_direction& direction,
                std::size_t max_queue_bytes);

    /// Starts to relay. `on_end(is_failed)` is called when all data up to the end of the stream
    /// has been written, or when a socket failed.
    void start(std::weak_ptr<void> owner, std::function<void(bool)> on_end);

    /// Applies changed faults.
    void apply_faults();

    /// Stops all operations.
    void stop();

private:
    struct chunk
    {
        clock_type::time_point m_release;
        std::string m_data;
    };

    void read();
    void finish_read(const boost::system::error_code& error, std::size_t size);
    void write();
    void finish_write(const boost::system::error_code& error);
    void wait_until(clock_type::time_point time);
    void end(bool is_failed);

    tcp::socket& m_source;
    tcp::socket& m_sink;
    link_direction& m_direction;
    std::size_t m_max_queue_bytes;
    boost::asio::steady_timer m_timer;
    std::weak_ptr<void> m_owner;
    std::function<void(bool)> m_on_end;
    static constexpr std::size_t read_size = 16'384;
    std::array<char, read_size> m_buffer{};
    std::deque<chunk> m_queue;
    std::size_t m_queue_bytes = 0;
    clock_type::time_point m_last_release{};
    bool m_is_reading = false;
    bool m_is_writing = false;
    bool m_has_ended = false;
    bool m_source_ended = false;

    /// Data was discarded; the connection is reset when the fault is cleared.
    bool m_has_gap = false;
};

} // namespace azureladder::proxy
