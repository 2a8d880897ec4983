#include <azureladder/sidecar/peer_index.hpp>

namespace azureladder::sidecar {

const peer_index::entries& peer_index::peers_of(peer_map& peers, const std::string& service)
{
    if (!m_is_current) {
        m_peers_by_service.clear();
        for (auto& entry : peers)
            m_peers_by_service[entry.second.m_status.m_service].push_back(&entry);
        m_is_current = true;
    }
    return m_peers_by_service[service];
}

} // namespace azureladder::sidecar
