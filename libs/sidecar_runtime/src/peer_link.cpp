#include "peer_link.hpp"

#include <azureladder/sidecar/peer_frame_codec.hpp>

#include <boost/asio/write.hpp>

#include <algorithm>

namespace azureladder::sidecar_runtime {

namespace {

/// Limit of bytes queued for a peer that does not read. Beyond it the link is closed, and its
/// requests are resumed or fail, so that memory stays bounded.
constexpr std::size_t max_send_queue_bytes = 32U * 1024 * 1024;

/// Limit of bytes that are read from a connection in one pass of the event loop, beyond the first
/// chunk. A pass reads what has arrived, so that a cancel is seen together with its request.
constexpr std::size_t max_pass_bytes = 256U * 1024;

/// Bytes above which no further frame is added to a write. Frames in a write can't be removed.
constexpr std::size_t write_bytes = 64U * 1024;

} // namespace

peer_link::peer_link(tcp::socket socket, std::uint64_t id, const clock& time,
                     const callbacks& handlers)
    : m_socket(std::move(socket)), m_id(id), m_clock(time), m_handlers(handlers)
{
}

void peer_link::start()
{
    set_connection_options(m_socket);
    error_code error;
    m_socket.non_blocking(true, error);
    if (error)
        close_and_report();
    else
        read();
}

void peer_link::read()
{
    m_socket.async_read_some(asio::buffer(m_read_chunk),
                             [self = shared_from_this()](error_code error, std::size_t size) {
                                 if (self->m_is_closed)
                                     return;
                                 self->m_read_buffer.append(self->m_read_chunk.data(), size);
                                 if (!error && size == self->m_read_chunk.size())
                                     error = self->read_available();
                                 self->decode_frames();
                                 if (self->m_is_closed)
                                     return;
                                 if (error)
                                     self->close_and_report();
                                 else
                                     self->read();
                             });
}

error_code peer_link::read_available()
{
    std::size_t total = 0;
    while (total < max_pass_bytes) {
        error_code error;
        const std::size_t size = m_socket.read_some(asio::buffer(m_read_chunk), error);
        if (error)
            return error == asio::error::would_block ? error_code() : error;
        m_read_buffer.append(m_read_chunk.data(), size);
        total += size;
        if (size < m_read_chunk.size())
            break;
    }
    return {};
}

void peer_link::decode_frames()
{
    std::size_t offset = 0;
    while (!m_is_closed) {
        sidecar::peer_frame frame;
        std::size_t frame_bytes = 0;
        const auto state = sidecar::decode_frame(std::string_view(m_read_buffer).substr(offset),
                                                 frame, frame_bytes);
        if (state == sidecar::frame_state::invalid) {
            close_and_report();
            return;
        }
        if (state == sidecar::frame_state::incomplete)
            break;
        offset += frame_bytes;
        m_handlers.m_on_frame(m_id, std::move(frame));
    }
    m_read_buffer.erase(0, offset);
}

void peer_link::send(const sidecar::peer_frame& frame)
{
    if (m_is_closed)
        return;
    const auto* cancel = std::get_if<sidecar::cancel_frame>(&frame);
    if (cancel != nullptr && remove_queued_request(cancel->m_id))
        return;
    queued_frame queued;
    if (const auto* request = std::get_if<sidecar::request_frame>(&frame))
        queued.m_request = request->m_id;
    queued.m_kind = frame.index();
    queued.m_queued_at = m_clock.now();
    queued.m_bytes = sidecar::encode_frame(frame);
    m_send_queue_bytes += queued.m_bytes.size();
    m_send_queue.push_back(std::move(queued));
    if (m_send_queue_bytes > max_send_queue_bytes)
        close_and_report();
    else if (m_write_buffer.empty())
        write();
}

bool peer_link::remove_queued_request(std::uint64_t request)
{
    const auto found =
        std::find_if(m_send_queue.begin(), m_send_queue.end(),
                     [&](const queued_frame& queued) { return queued.m_request == request; });
    if (found == m_send_queue.end())
        return false;
    m_send_queue_bytes -= found->m_bytes.size();
    m_send_queue.erase(found);
    return true;
}

void peer_link::write()
{
    while (!m_send_queue.empty() && m_write_buffer.size() < write_bytes) {
        m_write_buffer += m_send_queue.front().m_bytes;
        m_send_queue_bytes -= m_send_queue.front().m_bytes.size();
        m_frames_in_write.push_back(std::move(m_send_queue.front()));
        m_send_queue.pop_front();
    }
    asio::async_write(m_socket, asio::buffer(m_write_buffer),
                      [self = shared_from_this()](error_code error, std::size_t /*size*/) {
                          self->m_write_buffer.clear();
                          const auto written = std::move(self->m_frames_in_write);
                          self->m_frames_in_write.clear();
                          if (self->m_is_closed)
                              return;
                          if (error) {
                              self->close_and_report();
                              return;
                          }
                          self->report_sent(written);
                          if (!self->m_send_queue.empty())
                              self->write();
                      });
}

void peer_link::report_sent(const std::vector<queued_frame>& frames)
{
    const time_point now = m_clock.now();
    for (const auto& frame : frames)
        m_handlers.m_on_sent(m_id, {frame.m_kind, frame.m_bytes.size(), now - frame.m_queued_at,
                                    m_send_queue_bytes});
}

void peer_link::close()
{
    m_is_closed = true;
    // The connection is discarded, so an error while closing has no effect.
    error_code ignored;
    // Frames that were not delivered are resumed, sent again or dropped elsewhere. A reset keeps
    // the system from delivering them later.
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void peer_link::close_and_report()
{
    if (m_is_closed)
        return;
    close();
    m_handlers.m_on_closed(m_id);
}

} // namespace azureladder::sidecar_runtime
