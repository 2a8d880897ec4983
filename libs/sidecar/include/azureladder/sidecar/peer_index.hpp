#pragma once

#include <azureladder/sidecar/peer_state.hpp>

#include <map>
#include <string>
#include <vector>

namespace azureladder::sidecar {

using peer_map = std::map<std::string, peer_state>;

/// Peers by the service of their backend server, so that the selection of a server does not visit
/// the peers of other services. A copy is empty, since it would refer to the peers of the original.
class peer_index
{
public:
    using entries = std::vector<peer_map::value_type*>;

    peer_index() = default;
    peer_index(const peer_index& /*other*/) {}
    peer_index(peer_index&&) = default;
    peer_index& operator=(const peer_index& other)
    {
        if (this != &other)
            invalidate();
        return *this;
    }
    peer_index& operator=(peer_index&&) = default;
    ~peer_index() = default;

    /// To be called when a peer is added or removed, or its service changes.
    void invalidate() { m_is_current = false; }

    /// Peers whose server belongs to `service`, in the order of their names.
    const entries& peers_of(peer_map& peers, const std::string& service);

private:
    std::map<std::string, entries> m_peers_by_service;
    bool m_is_current = false;
};

} // namespace azureladder::sidecar
