#include <azureladder/peer/transport.hpp>

#include "transport_impl.hpp"

namespace azureladder::peer {

transport::transport(boost::asio::io_context& context, const clock& time,
                     const transport_options& options, transport_callbacks callbacks)
    : m_impl(std::make_shared<impl>(context, time, options, std::move(callbacks)))
{
}

transport::~transport()
{
    m_impl->stop();
}

result<void, transport_error> transport::start()
{
    return m_impl->start();
}

void transport::close(std::function<void()> done)
{
    m_impl->close(std::move(done));
}

void transport::stop()
{
    m_impl->stop();
}

endpoint transport::advertised() const
{
    return m_impl->advertised();
}

void transport::send_datagram(const endpoint& to, const std::vector<std::uint8_t>& bytes)
{
    m_impl->send_datagram(to, bytes);
}

void transport::receive_pending()
{
    m_impl->receive_pending();
}

frame_id transport::send_frame(const endpoint& to, std::vector<std::uint8_t> bytes, bool track)
{
    return m_impl->send_frame(to, std::move(bytes), track);
}

void transport::frame_done(frame_id id)
{
    m_impl->frame_done(id);
}

const transport_counters& transport::counters() const
{
    return m_impl->counters();
}

std::size_t transport::link_count() const
{
    return m_impl->link_count();
}

} // namespace azureladder::peer
