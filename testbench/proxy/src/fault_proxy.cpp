#include "fault_proxy.hpp"

#include <azureladder/base/hash.hpp>

#include <boost/system/system_error.hpp>

#include <stdexcept>

namespace azureladder::proxy {

namespace {

constexpr int max_port_attempts = 20;

json error_reply(const std::string& message)
{
    return {{"ok", false}, {"error", message}};
}

} // namespace

struct fault_proxy::link
{
    link(boost::asio::io_context& context, const proxy_settings& settings, const link_settings& own)
        : m_settings(own),
          m_forward(own.m_forward, hash64(own.m_name + "/forward", settings.m_seed)),
          m_backward(own.m_backward, hash64(own.m_name + "/backward", settings.m_seed))
    {
        open_relays(context, settings);
        set_refusing(own.m_refuse);
    }

    /// Opens the relays. When the kernel chooses the port of a link for both protocols, the port
    /// that is free for TCP may be in use for UDP; then another port is tried.
    void open_relays(boost::asio::io_context& context, const proxy_settings& settings)
    {
        const auto& own = m_settings;
        for (int attempt = 1;; ++attempt) {
            if (own.m_protocol != link_protocol::udp) {
                m_tcp = std::make_unique<tcp_relay>(context, settings, own, m_forward, m_backward);
                m_tcp->open();
            }
            if (own.m_protocol == link_protocol::tcp)
                return;
            m_udp = std::make_unique<udp_relay>(context, settings, own, m_forward, m_backward);
            try {
                m_udp->open(m_tcp ? m_tcp->port() : 0);
                return;
            } catch (const boost::system::system_error&) {
                if (own.m_listen.m_port != 0 || attempt == max_port_attempts)
                    throw;
            }
        }
    }

    std::uint16_t port() const { return m_tcp ? m_tcp->port() : m_udp->port(); }

    void set_refusing(bool is_refusing)
    {
        m_settings.m_refuse = is_refusing;
        if (m_udp)
            m_udp->set_refusing(is_refusing);
        if (m_tcp && is_refusing)
            m_tcp->refuse();
        else if (m_tcp)
            m_tcp->open();
    }

    void apply_faults()
    {
        if (m_tcp)
            m_tcp->apply_faults();
    }

    json status() const
    {
        return {{"name", m_settings.m_name},
                {"refuse", m_settings.m_refuse},
                {"connections", m_tcp ? m_tcp->session_count() : 0},
                {"forward", m_forward.status()},
                {"backward", m_backward.status()}};
    }

    link_settings m_settings;
    link_direction m_forward;
    link_direction m_backward;
    std::unique_ptr<tcp_relay> m_tcp;
    std::unique_ptr<udp_relay> m_udp;
};

void fault_proxy::link_deleter::operator()(link* entry) const
{
    delete entry;
}

fault_proxy::fault_proxy(boost::asio::io_context& context, const proxy_settings& settings)
    : m_context(context), m_settings(settings)
{
    for (const auto& entry : m_settings.m_links)
        m_links.emplace_back(new link(m_context, m_settings, entry));
}

json fault_proxy::addresses() const
{
    json addresses = json::object();
    for (const auto& entry : m_links)
        addresses[entry->m_settings.m_name] =
            to_string(endpoint{entry->m_settings.m_listen.m_host, entry->port()});
    return addresses;
}

json fault_proxy::execute(const json& command)
{
    try {
        const auto name = command.at("command").get<std::string>();
        if (name == "set")
            return set(command);
        if (name == "clear")
            return clear(command);
        if (name == "status")
            return status();
        return error_reply("command: expected set, clear or status");
    } catch (const std::exception& error) {
        return error_reply(error.what());
    }
}

fault_proxy::link_list fault_proxy::find(const json& command) const
{
    const auto pattern = command.at("link").get<std::string>();
    link_list found;
    for (const auto& entry : m_links) {
        if (matches(pattern, entry->m_settings.m_name))
            found.push_back(entry.get());
    }
    if (found.empty())
        throw std::invalid_argument("link: no link matches " + pattern);
    return found;
}

json fault_proxy::set(const json& command)
{
    const auto links = find(command);
    const auto direction = command.value("direction", std::string("both"));
    if (direction != "forward" && direction != "backward" && direction != "both")
        return error_reply("direction: expected forward, backward or both");
    const auto faults = command.value("faults", json::object());
    fault_settings checked;
    if (const auto changed = change_faults(faults, checked); !changed)
        return error_reply(changed.error());
    for (auto* entry : links) {
        if (direction != "backward")
            (void)change_faults(faults, entry->m_forward.m_faults);
        if (direction != "forward")
            (void)change_faults(faults, entry->m_backward.m_faults);
        if (command.contains("refuse"))
            entry->set_refusing(command.at("refuse").get<bool>());
        entry->apply_faults();
    }
    return {{"ok", true}, {"links", links.size()}};
}

json fault_proxy::clear(const json& command)
{
    const auto links = find(command);
    for (auto* entry : links) {
        entry->m_forward.m_faults = {};
        entry->m_backward.m_faults = {};
        entry->set_refusing(false);
        entry->apply_faults();
    }
    return {{"ok", true}, {"links", links.size()}};
}

json fault_proxy::status() const
{
    auto links = json::array();
    for (const auto& entry : m_links)
        links.push_back(entry->status());
    return {{"ok", true}, {"links", links}};
}

bool matches(std::string_view pattern, std::string_view name)
{
    const auto star = pattern.find('*');
    if (star == std::string_view::npos)
        return pattern == name;
    if (name.substr(0, star) != pattern.substr(0, star))
        return false;
    const auto rest = pattern.substr(star + 1);
    for (auto at = star; at <= name.size(); ++at) {
        if (matches(rest, name.substr(at)))
            return true;
    }
    return false;
}

} // namespace azureladder::proxy
