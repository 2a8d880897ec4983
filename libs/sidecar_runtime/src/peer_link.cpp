#include "peer_link.hpp"

#include "byte_budget.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace azureladder::sidecar_runtime {

namespace {

/// Limit of bytes queued for a peer that does not read. Beyond it the link is closed, and its
/// requests are resumed or fail, so that memory stays bounded.
constexpr std::size_t max_queued_bytes = 32U * 1024 * 1024;

/// Limit of bytes that are read from a connection in one pass of the event loop. A pass reads what
/// has arrived, so that a cancel is seen together with its request.
constexpr std::size_t max_pass_bytes = 256U * 1024;

/// Limit of bytes that the system holds before they are on the wire, because nothing overtakes
/// them.
constexpr int max_unsent_bytes = 16 * 1024;

/// Read buffer of all links. A buffer for each would take more memory than the rest of a node with
/// hundreds of peers.
std::array<char, 32U * 1024>& read_buffer()
{
    static thread_local std::array<char, 32U * 1024> buffer;
    return buffer;
}

} // namespace

peer_link::peer_link(tcp::socket socket, std::uint64_t id, const clock& time, bulk_pacer& pacer,
                     const callbacks& handlers)
    : m_socket(std::move(socket)), m_id(id), m_clock(time), m_pacer(pacer), m_handlers(handlers)
{
}

void peer_link::start()
{
    set_connection_options(m_socket);
    // Without the option, long frames delay later ones by the size of the send buffer.
    setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max_unsent_bytes,
               sizeof max_unsent_bytes);
    error_code error;
    m_socket.non_blocking(true, error);
    if (error)
        close_and_report();
    else
        read();
}

void peer_link::read()
{
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        if (self->m_is_closed)
            return;
        if (!error)
            error = self->read_available();
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
    auto& buffer = read_buffer();
    std::size_t total = 0;
    while (total < max_pass_bytes && !m_is_closed) {
        error_code error;
        const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
        if (error)
            return error == asio::error::would_block ? error_code() : error;
        const bool is_valid =
            read_pieces(m_reader, {buffer.data(), size}, [this](sidecar::peer_frame frame) {
                m_handlers.m_on_frame(m_id, std::move(frame));
                return !m_is_closed;
            });
        if (m_reader.m_malformed_frames > 0 && m_handlers.m_on_malformed)
            m_handlers.m_on_malformed(m_id, m_reader.m_malformed_frames);
        m_reader.m_malformed_frames = 0;
        if (!is_valid)
            return asio::error::invalid_argument;
        if (!m_is_closed && !reserve_input())
            return asio::error::no_buffer_space;
        total += size;
        if (size < buffer.size())
            break;
    }
    return {};
}

void peer_link::send(const sidecar::peer_frame& frame)
{
    if (m_is_closed)
        return;
    const auto* cancel = std::get_if<sidecar::cancel_frame>(&frame);
    if (cancel != nullptr) {
        // The peer has the request if its body is queued, and needs the cancel.
        remove_queued_body(m_queue, cancel->m_id);
        if (remove_queued_request(m_queue, cancel->m_id))
            return;
    }
    push_frame(m_queue, frame, m_clock.now());
    if (m_queue.m_bytes > max_queued_bytes || !reserve_output())
        close_and_report();
    else
        resume();
}

void peer_link::resume()
{
    if (!m_is_closed && m_write.m_bytes.empty() && m_queue.m_bytes > 0)
        write();
}

bool peer_link::has_unsent_frames() const
{
    return !m_is_closed && (m_queue.m_bytes > 0 || !m_write.m_bytes.empty());
}

void peer_link::finish()
{
    // An error means that the connection is lost, which its next operation reports.
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void peer_link::write()
{
    m_write = take_write(m_queue, m_pacer, m_clock.now());
    if (m_write.m_bytes.empty()) {
        m_handlers.m_on_held_back(m_id);
        return;
    }
    asio::async_write(m_socket, asio::buffer(m_write.m_bytes),
                      [self = shared_from_this()](error_code error, std::size_t /*size*/) {
                          const frame_write written = std::move(self->m_write);
                          self->m_write = {};
                          if (!self->m_is_closed)
                              self->on_written(written, error);
                      });
}

void peer_link::on_written(const frame_write& written, error_code error)
{
    if (error) {
        close_and_report();
        return;
    }
    // A reservation that shrinks can't fail.
    static_cast<void>(reserve_output());
    const time_point now = m_clock.now();
    for (std::size_t i = 0; i < written.m_completed.size(); ++i) {
        const queued_frame& frame = written.m_completed[i];
        m_handlers.m_on_sent(m_id, {frame.m_kind, written.m_completed_bytes[i],
                                    now - frame.m_queued_at, m_queue.m_bytes});
    }
    resume();
}

void peer_link::close()
{
    m_is_closed = true;
    m_input_memory.reset();
    m_output_memory.reset();
    // The connection is discarded, so an error while closing has no effect.
    error_code ignored;
    // Frames that were not delivered are resumed, sent again or dropped elsewhere. A reset keeps
    // the system from delivering them later.
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

bool peer_link::reserve(std::optional<byte_reservation>& held, byte_budget* budget,
                        std::size_t bytes)
{
    if (budget == nullptr || (bytes == 0 && !held))
        return true;
    if (!held) {
        held.emplace(*budget, [this] {
            // Other links are being handled here.
            asio::post(m_socket.get_executor(),
                       [self = shared_from_this()] { self->close_and_report(); });
        });
    }
    return held->resize(bytes);
}

bool peer_link::reserve_input()
{
    return reserve(m_input_memory, m_handlers.m_input_budget, buffered_bytes(m_reader));
}

bool peer_link::reserve_output()
{
    return reserve(m_output_memory, m_handlers.m_output_budget, m_queue.m_bytes);
}

void peer_link::close_and_report()
{
    if (m_is_closed)
        return;
    close();
    m_handlers.m_on_closed(m_id);
}

} // namespace azureladder::sidecar_runtime
