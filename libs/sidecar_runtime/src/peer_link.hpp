#pragma once

#include "asio_types.hpp"

#include <azureladder/sidecar/peer_frame.hpp>

#include <functional>
#include <memory>
#include <string>

namespace azureladder::sidecar_runtime {

/// A TCP connection between two nodes that carries frames.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    struct callbacks
    {
        std::function<void(std::uint64_t link, sidecar::peer_frame)> m_on_frame;
        std::function<void(std::uint64_t link)> m_on_closed;
    };

    peer_link(tcp::socket socket, std::uint64_t id, const callbacks& handlers);

    void start();
    void send(const sidecar::peer_frame& frame);

    /// Closes the connection without calling m_on_closed.
    void close();

private:
    void read();
    void write();
    void close_and_report();

    tcp::socket m_socket;
    std::uint64_t m_id;
    const callbacks& m_handlers;
    std::string m_read_buffer;
    std::array<char, 16 * 1024> m_read_chunk{};
    std::string m_send_queue;
    std::string m_write_buffer;
    bool m_is_closed = false;
};

} // namespace azureladder::sidecar_runtime
