#include "sidecar_cluster.hpp"

namespace azureladder::sidecar {

namespace {

constexpr duration link_delay = milliseconds(4);

} // namespace

bool sidecar_cluster::is_partitioned(const std::string& a, const std::string& b) const
{
    return m_partitions.count({std::min(a, b), std::max(a, b)}) != 0;
}

void sidecar_cluster::partition(const std::string& a, const std::string& b, bool is_partitioned)
{
    const std::pair<std::string, std::string> pair{std::min(a, b), std::max(a, b)};
    if (is_partitioned)
        m_partitions.insert(pair);
    else
        m_partitions.erase(pair);
}

void sidecar_cluster::reset_links(const std::string& node)
{
    std::vector<std::uint64_t> closed;
    for (const auto& [id, end] : m_links) {
        if (end.m_node == node)
            closed.push_back(id);
    }
    for (const std::uint64_t link : closed)
        close(link);
}

void sidecar_cluster::connect(const std::string& node, const std::string& peer)
{
    const std::uint64_t incarnation = m_machines.at(node).m_incarnation;
    at(link_delay * 2, [this, node, peer, incarnation] {
        if (!is_up(node, incarnation))
            return;
        if (is_partitioned(node, peer) || !m_machines.at(peer).m_state) {
            handle_event(node, connect_failed{peer});
            return;
        }
        const std::uint64_t own = m_next_id++;
        const std::uint64_t other = m_next_id++;
        m_links[own] = {node, peer, other};
        m_links[other] = {peer, node, own};
        handle_event(peer, link_opened{other, ""});
        handle_event(node, link_opened{own, peer});
    });
}

void sidecar_cluster::close(std::uint64_t link)
{
    const auto found = m_links.find(link);
    if (found == m_links.end())
        return;
    const link_end end = found->second;
    m_links.erase(found);
    m_links.erase(end.m_other);
    if (m_machines.at(end.m_node).m_state)
        handle_event(end.m_node, link_closed{link});
    at(link_delay, [this, end] {
        if (m_machines.at(end.m_peer).m_state)
            handle_event(end.m_peer, link_closed{end.m_other});
    });
}

void sidecar_cluster::deliver(std::uint64_t link, const peer_frame& frame)
{
    const auto found = m_links.find(link);
    if (found == m_links.end() || is_partitioned(found->second.m_node, found->second.m_peer))
        return;
    const link_end end = found->second;
    duration delay = link_delay;
    if (const auto* body = std::get_if<body_frame>(&frame)) {
        // Shorter bodies overtake longer ones, which the order of frames on a link does not permit,
        // but bodies over several links do.
        const double transfer_s = static_cast<double>(body->m_body->size()) / body_rate;
        delay += std::chrono::duration_cast<duration>(std::chrono::duration<double>(transfer_s));
    }
    at(delay, [this, end, frame] {
        if (m_links.count(end.m_other) != 0)
            handle_event(end.m_peer, frame_received{end.m_other, frame});
    });
}

} // namespace azureladder::sidecar
