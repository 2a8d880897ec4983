#include <azureladder/deployment/cluster.hpp>
#include <azureladder/deployment/fault_links.hpp>

#include <azureladder/base/precondition.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <fstream>

namespace azureladder::deployment {

namespace {

/// Seed of the proxy's random numbers; fixed, so that runs have reproducible losses.
constexpr std::uint64_t proxy_seed = 7;

constexpr std::chrono::seconds control_timeout{2};

std::string peer_name(const std::string& from, const std::string& to)
{
    return "peer/" + from + "->" + to;
}

std::string store_name(const std::string& node)
{
    return "store/" + node;
}

} // namespace

void fault_links::add_peer_link(const std::string& from, const std::string& to,
                                const endpoint& target)
{
    add(peer_name(from, to), target, "both");
}

void fault_links::add_store_link(const std::string& node, const endpoint& target)
{
    add(store_name(node), target, "tcp");
}

void fault_links::add(const std::string& name, const endpoint& target, const std::string& protocol)
{
    AZURELADDER_PRECONDITION(!m_proxy, "links are added before the proxy starts");
    m_links[name] = {free_endpoint(), target, protocol};
}

const endpoint& fault_links::peer_address(const std::string& from, const std::string& to) const
{
    return m_links.at(peer_name(from, to)).m_listen;
}

const endpoint& fault_links::store_address(const std::string& node) const
{
    return m_links.at(store_name(node)).m_listen;
}

bool fault_links::start(const std::string& binaries, const std::string& directory,
                        milliseconds limit)
{
    m_control = free_endpoint();
    json links = json::array();
    for (const auto& [name, value] : m_links)
        links.push_back({{"name", name},
                         {"protocol", value.m_protocol},
                         {"listen", to_string(value.m_listen)},
                         {"target", to_string(value.m_target)}});
    const json settings = {
        {"control", to_string(m_control)}, {"seed", proxy_seed}, {"links", links}};
    const auto file = directory + "/proxy.json";
    std::ofstream(file) << settings.dump(2);
    m_proxy = std::make_unique<process>(binaries + "/azureladder-fault-proxy",
                                        std::vector<std::string>{"--config", file},
                                        directory + "/proxy.out");
    return wait_until([&] { return command({{"command", "status"}}); }, limit);
}

bool fault_links::set(const std::string& pattern, const json& faults, const std::string& direction)
{
    json message = {{"command", "set"}, {"link", pattern}, {"faults", faults}};
    if (!direction.empty())
        message["direction"] = direction;
    return command(message);
}

bool fault_links::clear(const std::string& pattern)
{
    return command({{"command", "clear"}, {"link", pattern}});
}

bool fault_links::set_one_way_faults(const std::string& from, const std::string& to,
                                     const json& faults)
{
    return set(peer_name(from, to), faults, "forward") &&
           set(peer_name(to, from), faults, "backward");
}

bool fault_links::command(const json& message)
{
    boost::asio::ip::tcp::iostream stream;
    stream.expires_after(control_timeout);
    stream.connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(m_control.m_host),
                                                  m_control.m_port));
    stream << message.dump() << '\n' << std::flush;
    std::string line;
    std::getline(stream, line);
    const auto reply = json::parse(line, nullptr, false);
    return reply.is_object() && reply.value("ok", false);
}

} // namespace azureladder::deployment
