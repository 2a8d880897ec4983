#include "peer_link.hpp"

#include <azureladder/sidecar/peer_frame_codec.hpp>

#include <boost/asio/write.hpp>

namespace azureladder::sidecar_runtime {

namespace {

/// Bytes that wait for a peer that does not read. Beyond, the link is closed: its requests are
/// then resumed or fail, which is better than memory without bound.
constexpr std::size_t max_queued_bytes = 32U * 1024 * 1024;

} // namespace

peer_link::peer_link(tcp::socket socket, std::uint64_t id, const callbacks& handlers)
    : m_socket(std::move(socket)), m_id(id), m_handlers(handlers)
{
}

void peer_link::start()
{
    set_connection_options(m_socket);
    read();
}

void peer_link::read()
{
    m_socket.async_read_some(
        asio::buffer(m_chunk), [self = shared_from_this()](error_code error, std::size_t size) {
            if (self->m_closed)
                return;
            if (error) {
                self->fail();
                return;
            }
            self->m_received.append(self->m_chunk.data(), size);
            std::size_t offset = 0;
            while (!self->m_closed) {
                sidecar::peer_frame frame;
                std::size_t used = 0;
                const auto state = sidecar::decode_frame(
                    std::string_view(self->m_received).substr(offset), frame, used);
                if (state == sidecar::frame_state::invalid) {
                    self->fail();
                    return;
                }
                if (state == sidecar::frame_state::incomplete)
                    break;
                offset += used;
                self->m_handlers.m_on_frame(self->m_id, std::move(frame));
            }
            if (self->m_closed)
                return;
            self->m_received.erase(0, offset);
            self->read();
        });
}

void peer_link::send(const sidecar::peer_frame& frame)
{
    if (m_closed)
        return;
    m_queued += sidecar::encode_frame(frame);
    if (m_queued.size() > max_queued_bytes)
        fail();
    else if (m_writing.empty())
        write();
}

void peer_link::write()
{
    m_writing = std::move(m_queued);
    m_queued.clear();
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](error_code error, std::size_t /*size*/) {
                          self->m_writing.clear();
                          if (self->m_closed)
                              return;
                          if (error)
                              self->fail();
                          else if (!self->m_queued.empty())
                              self->write();
                      });
}

void peer_link::close()
{
    m_closed = true;
    // The connection is given up, so an error of closing it changes nothing.
    error_code ignored;
    m_socket.close(ignored);
}

void peer_link::fail()
{
    if (m_closed)
        return;
    close();
    m_handlers.m_on_closed(m_id);
}

} // namespace azureladder::sidecar_runtime
