#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/deployment/process.hpp>

#include <map>
#include <memory>
#include <string>

namespace azureladder::deployment {

/// Links of a deployment that pass through one `azureladder-fault-proxy`: one for each ordered pair
/// of nodes (TCP and UDP), and one from each node to the platform store. Names are
/// "peer/<from>-><to>" and "store/<node>"; patterns may contain `*`.
class fault_links
{
public:
    /// Adds the link over which `from` reaches `to`. Only before `start`.
    void add_peer_link(const std::string& from, const std::string& to, const endpoint& target);
    void add_store_link(const std::string& node, const endpoint& target);

    /// Address at which `from` reaches `to`, or `node` the store. The link must have been added.
    const endpoint& peer_address(const std::string& from, const std::string& to) const;
    const endpoint& store_address(const std::string& node) const;

    /// Starts the proxy and waits until it accepts commands. Returns false after `limit`.
    bool start(const std::string& binaries, const std::string& directory, milliseconds limit);

    /// Sets faults of all links that match `pattern`; `direction` is "forward" (from the node that
    /// opened the link), "backward" or empty for both. Returns whether the proxy accepted them.
    bool set(const std::string& pattern, const json& faults, const std::string& direction = "");

    /// Ends all faults of the matching links.
    bool clear(const std::string& pattern = "*");

    /// Sets faults of all messages that `from` sends to `to`, over links opened by either node.
    bool set_one_way_faults(const std::string& from, const std::string& to, const json& faults);

private:
    struct link
    {
        endpoint m_listen;
        endpoint m_target;
        std::string m_protocol;
    };

    void add(const std::string& name, const endpoint& target, const std::string& protocol);
    bool command(const json& message);

    std::map<std::string, link> m_links;
    endpoint m_control;
    std::unique_ptr<process> m_proxy;
};

} // namespace azureladder::deployment
