#pragma once

#include "tcp_relay.hpp"
#include "udp_relay.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace azureladder::proxy {

/// All links of a proxy and the commands that change them.
class fault_proxy
{
public:
    /// Opens all links; throws `boost::system::system_error` when a port is in use.
    fault_proxy(boost::asio::io_context& context, const proxy_settings& settings);

    /// Executes a command of the control protocol (README.md) and returns its reply.
    json execute(const json& command);

    /// Name and address of each link.
    json addresses() const;

private:
    struct link;
    using link_list = std::vector<link*>;

    link_list find(const json& command) const;
    json set(const json& command);
    json clear(const json& command);
    json status() const;

    boost::asio::io_context& m_context;
    proxy_settings m_settings;

    struct link_deleter
    {
        void operator()(link* entry) const;
    };
    std::vector<std::unique_ptr<link, link_deleter>> m_links;
};

/// Whether `name` matches `pattern`, in which "*" stands for any text.
bool matches(std::string_view pattern, std::string_view name);

} // namespace azureladder::proxy
