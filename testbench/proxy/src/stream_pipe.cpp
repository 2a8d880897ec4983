#include "stream_pipe.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>

namespace azureladder::proxy {

using boost::system::error_code;

stream_pipe::stream_pipe(tcp::socket& source, tcp::socket& sink, link_direction& direction,
                         std::size_t max_queue_bytes)
    : m_source(source), m_sink(sink), m_direction(direction), m_max_queue_bytes(max_queue_bytes),
      m_timer(source.get_executor())
{
}

void stream_pipe::start(std::weak_ptr<void> owner, std::function<void(bool)> on_end)
{
    m_owner = std::move(owner);
    m_on_end = std::move(on_end);
    read();
}

void stream_pipe::apply_faults()
{
    if (m_has_gap && !m_direction.m_faults.m_swallow) {
        end(true);
        return;
    }
    if (m_on_end) {
        read();
        write();
    }
}

void stream_pipe::stop()
{
    m_has_ended = true;
    m_timer.cancel();
}

void stream_pipe::read()
{
    const bool is_full = m_queue_bytes >= m_max_queue_bytes;
    if (m_is_reading || m_has_ended || m_source_ended || is_full || m_direction.m_faults.m_cut)
        return;
    m_is_reading = true;
    m_source.async_read_some(
        boost::asio::buffer(m_buffer),
        [this, keep_alive = m_owner.lock()](const error_code& error, std::size_t size) {
            m_is_reading = false;
            if (!m_has_ended)
                finish_read(error, size);
        });
}

void stream_pipe::finish_read(const error_code& error, std::size_t size)
{
    if (error) {
        m_source_ended = true;
        // A reset discards data that is still queued; an orderly end is delivered after it.
        if (error != boost::asio::error::eof)
            end(true);
        else
            write();
        return;
    }
    if (m_direction.m_faults.m_swallow || m_has_gap) {
        m_has_gap = true;
        ++m_direction.m_dropped_units;
    } else {
        m_last_release = m_direction.stream_release(size, m_last_release);
        m_queue.push_back({m_last_release, std::string(m_buffer.data(), size)});
        m_queue_bytes += size;
        write();
    }
    read();
}

void stream_pipe::write()
{
    if (m_is_writing || m_has_ended || m_direction.m_faults.m_cut)
        return;
    if (m_queue.empty()) {
        if (m_source_ended && !m_direction.m_faults.m_swallow)
            end(false);
        return;
    }
    if (m_queue.front().m_release > clock_type::now()) {
        wait_until(m_queue.front().m_release);
        return;
    }
    m_is_writing = true;
    boost::asio::async_write(
        m_sink, boost::asio::buffer(m_queue.front().m_data),
        [this, keep_alive = m_owner.lock()](const error_code& error, std::size_t) {
            m_is_writing = false;
            if (!m_has_ended)
                finish_write(error);
        });
}

void stream_pipe::finish_write(const error_code& error)
{
    if (error) {
        end(true);
        return;
    }
    const auto size = m_queue.front().m_data.size();
    m_direction.m_passed_bytes += size;
    ++m_direction.m_passed_units;
    m_queue_bytes -= size;
    m_queue.pop_front();
    read();
    write();
}

void stream_pipe::wait_until(clock_type::time_point time)
{
    m_timer.expires_at(time);
    m_timer.async_wait([this, keep_alive = m_owner.lock()](const error_code& error) {
        if (!error && !m_has_ended)
            write();
    });
}

void stream_pipe::end(bool is_failed)
{
    if (m_has_ended)
        return;
    m_has_ended = true;
    m_timer.cancel();
    m_on_end(is_failed);
}

} // namespace azureladder::proxy
