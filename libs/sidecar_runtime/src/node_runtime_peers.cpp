#include "node_runtime_impl.hpp"

#include <algorithm>

namespace azureladder::sidecar_runtime {

namespace {

/// Delay after a failed accept, for example when file descriptors are exhausted.
constexpr milliseconds accept_retry_delay{20};

constexpr milliseconds peer_connect_timeout{500};

/// Time in the send queue of a peer connection above which a frame is logged. Callers notice a
/// delay of half a second.
constexpr milliseconds logged_frame_wait{250};

} // namespace

void node_runtime::impl::execute(const sidecar::connect_node& command)
{
    const auto address = parse_endpoint(command.m_address);
    if (!address) {
        enqueue(sidecar::connect_failed{command.m_node});
        return;
    }
    const auto socket = std::make_shared<tcp::socket>(m_io);
    const auto timer = std::make_shared<asio::steady_timer>(m_io, peer_connect_timeout);
    timer->async_wait([socket](error_code error) {
        error_code ignored;
        if (!error)
            socket->close(ignored);
    });
    socket->async_connect(to_tcp_endpoint(*address),
                          [this, socket, timer, node = command.m_node](error_code error) {
                              timer->cancel();
                              if (error || !socket->is_open()) {
                                  enqueue(sidecar::connect_failed{node});
                                  return;
                              }
                              const std::uint64_t link = add_link(std::move(*socket));
                              enqueue(sidecar::link_opened{link, node});
                          });
}

void node_runtime::impl::execute(const sidecar::close_link& command)
{
    close_link(command.m_link);
}

void node_runtime::impl::close_link(std::uint64_t link)
{
    const auto found = m_links.find(link);
    if (found == m_links.end())
        return;
    const auto link_to_close = found->second;
    m_links.erase(found);
    link_to_close->close();
    m_events.remove_frames(link);
    enqueue(sidecar::link_closed{link});
}

void node_runtime::impl::execute(const sidecar::send_frame& command)
{
    const auto found = m_links.find(command.m_link);
    if (found != m_links.end())
        found->second->send(command.m_frame);
}

void node_runtime::impl::accept_peers()
{
    m_peer_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error) {
            m_peer_accept_timer.expires_after(accept_retry_delay);
            m_peer_accept_timer.async_wait([this](error_code cancelled) {
                if (!cancelled)
                    accept_peers();
            });
            return;
        }
        limit_unidentified_links();
        const std::uint64_t link = add_link(std::move(socket));
        m_unidentified_links.insert(link);
        enqueue(sidecar::link_opened{link, ""});
        accept_peers();
    });
}

void node_runtime::impl::limit_unidentified_links()
{
    if (m_unidentified_links.size() < m_connection_limits.m_unidentified_peers)
        return;
    for (auto link = m_unidentified_links.begin(); link != m_unidentified_links.end();) {
        const bool is_settled =
            m_links.count(*link) == 0 || m_state.m_node_of_link.count(*link) != 0;
        link = is_settled ? m_unidentified_links.erase(link) : std::next(link);
    }
    if (m_unidentified_links.size() < m_connection_limits.m_unidentified_peers)
        return;
    const std::uint64_t oldest = *m_unidentified_links.begin();
    m_unidentified_links.erase(oldest);
    close_link(oldest);
    count_dropped_client("peer_connections");
}

std::uint64_t node_runtime::impl::add_link(tcp::socket socket)
{
    const std::uint64_t id = m_next_link_id++;
    const auto link =
        std::make_shared<peer_link>(std::move(socket), id, m_clock, m_bulk_pacer, m_link_callbacks);
    m_links[id] = link;
    link->start();
    return id;
}

void node_runtime::impl::on_frame_sent(std::uint64_t link, const peer_link::sent_frame& frame)
{
    frame_traffic& traffic = m_peer_traffic[frame.m_kind];
    ++traffic.m_frames;
    traffic.m_bytes += frame.m_bytes;
    traffic.m_total_wait += frame.m_waited;
    traffic.m_max_wait = std::max(traffic.m_max_wait, frame.m_waited);
    if (frame.m_waited < logged_frame_wait)
        return;
    const auto peer = m_state.m_node_of_link.find(link);
    m_log.write(log_level::warning, "frame_delayed",
                {{"kind", std::string(sidecar::frame_kind_names[frame.m_kind])},
                 {"peer", peer == m_state.m_node_of_link.end() ? std::string() : peer->second},
                 {"bytes", frame.m_bytes},
                 {"waited_ms", to_ms(frame.m_waited)},
                 {"queued_bytes", frame.m_queued_bytes}});
}

void node_runtime::impl::resume_held_back_links()
{
    const auto links = std::move(m_held_back_links);
    m_held_back_links.clear();
    for (const std::uint64_t id : links) {
        const auto link = m_links.find(id);
        if (link != m_links.end())
            link->second->resume();
    }
}

void node_runtime::impl::log_peer_traffic()
{
    json kinds = json::object();
    for (std::size_t kind = 0; kind < m_peer_traffic.size(); ++kind) {
        frame_traffic& traffic = m_peer_traffic[kind];
        const std::uint64_t frames = traffic.m_frames - m_reported_traffic[kind].m_frames;
        if (frames == 0)
            continue;
        kinds[std::string(sidecar::frame_kind_names[kind])] = {
            {"frames", frames},
            {"bytes", traffic.m_bytes - m_reported_traffic[kind].m_bytes},
            {"max_wait_ms", to_ms(traffic.m_max_wait)}};
        traffic.m_max_wait = {};
    }
    m_reported_traffic = m_peer_traffic;
    m_log.write(log_level::info, "peer_traffic", {{"peers", m_links.size()}, {"sent", kinds}});
}

} // namespace azureladder::sidecar_runtime
