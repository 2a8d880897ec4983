#pragma once

#include "link_direction.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>

namespace azureladder::proxy {

/// Queues the datagrams of one direction of a link until their release time.
class datagram_queue
{
public:
    using sender = std::function<void(const std::string&)>;

    datagram_queue(boost::asio::io_context& context, link_direction& direction,
                   std::size_t max_bytes);

    /// Drops the datagram or sends it at its release time.
    void push(const char* data, std::size_t size, sender send);

    /// Discards all queued datagrams.
    void stop();

private:
    struct datagram
    {
        std::string m_data;
        sender m_send;
    };

    void send_due();
    void schedule();

    link_direction& m_direction;
    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    boost::asio::steady_timer m_timer;
    std::multimap<clock_type::time_point, datagram> m_waiting;
};

} // namespace azureladder::proxy
