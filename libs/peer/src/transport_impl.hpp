#pragma once

#include "datagram_socket.hpp"
#include "link.hpp"
#include "listener.hpp"

#include <azureladder/peer/transport.hpp>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace azureladder::peer {

/// State of a transport. Pending operations of the io_context keep it alive after the transport.
class transport::impl : public std::enable_shared_from_this<transport::impl>
{
public:
    impl(boost::asio::io_context& context, const clock& time, const transport_options& options,
         transport_callbacks callbacks);

    result<void, transport_error> start();
    void close(std::function<void()> done);
    void stop();
    endpoint advertised() const;
    void send_datagram(const endpoint& to, const std::vector<std::uint8_t>& bytes);
    void receive_pending();
    frame_id send_frame(const endpoint& to, std::vector<std::uint8_t> bytes, bool track);
    void frame_done(frame_id id);
    const transport_counters& counters() const { return m_shared->m_counters; }
    std::size_t link_count() const { return m_links.size(); }

private:
    using link_key = std::pair<std::string, std::uint16_t>;

    bool bind_same_port(const boost::asio::ip::address& address, std::uint16_t port,
                        std::string& message);
    std::shared_ptr<datagram_socket> make_datagram_socket();
    std::shared_ptr<listener> make_listener();
    void decode(const std::uint8_t* data, std::size_t size, wire::channel received_on);
    void drop(wire::channel received_on, const std::string& reason);
    void frame_failed(frame_id id, bool nothing_was_sent);
    void deliver_failures();
    void schedule_tick();
    void tick();
    void finish_closing();

    boost::asio::io_context& m_context;
    transport_callbacks m_callbacks;
    std::shared_ptr<link_context> m_shared;
    std::shared_ptr<datagram_socket> m_datagrams;
    std::shared_ptr<listener> m_listener;
    boost::asio::steady_timer m_timer;
    time_point m_last_tick{};
    bool m_running = false;
    bool m_closing = false;
    std::function<void()> m_on_closed;
    endpoint m_advertised;

    std::map<link_key, std::shared_ptr<link>> m_links;
    frame_id m_last_frame = 0;
    std::unordered_map<frame_id, std::shared_ptr<link>> m_tracked;

    /// Failures to report. They are reported from the io_context, so that `m_on_frame_failed` never
    /// runs within a call of the transport.
    std::vector<std::pair<frame_id, bool>> m_failures;
};

} // namespace azureladder::peer
