#include "datagram_queue.hpp"

namespace azureladder::proxy {

datagram_queue::datagram_queue(boost::asio::io_context& context, link_direction& direction,
                               std::size_t max_bytes)
    : m_direction(direction), m_max_bytes(max_bytes), m_timer(context)
{
}

void datagram_queue::push(const char* data, std::size_t size, sender send)
{
    if (m_direction.loses_datagram() || m_bytes + size > m_max_bytes) {
        ++m_direction.m_dropped_units;
        return;
    }
    const auto release = m_direction.datagram_release(size);
    m_bytes += size;
    m_waiting.emplace(release, datagram{std::string(data, size), std::move(send)});
    send_due();
}

void datagram_queue::stop()
{
    m_waiting.clear();
    m_timer.cancel();
}

void datagram_queue::send_due()
{
    while (!m_waiting.empty() && m_waiting.begin()->first <= clock_type::now()) {
        const auto next = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        m_bytes -= next.m_data.size();
        // Datagrams already queued when the link is cut are lost too.
        if (m_direction.m_faults.m_cut || m_direction.m_faults.m_swallow) {
            ++m_direction.m_dropped_units;
            continue;
        }
        ++m_direction.m_passed_units;
        m_direction.m_passed_bytes += next.m_data.size();
        next.m_send(next.m_data);
    }
    schedule();
}

void datagram_queue::schedule()
{
    if (m_waiting.empty())
        return;
    m_timer.expires_at(m_waiting.begin()->first);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            send_due();
    });
}

} // namespace azureladder::proxy
