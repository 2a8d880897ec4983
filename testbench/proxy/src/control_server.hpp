#pragma once

#include "fault_proxy.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace azureladder::proxy {

/// Control port: one JSON command per line over TCP, answered by one JSON line.
class control_server
{
public:
    using tcp = boost::asio::ip::tcp;

    control_server(boost::asio::io_context& context, const endpoint& listen, fault_proxy& links);

    endpoint address() const;

private:
    /// Longer lines close the connection.
    static constexpr std::size_t max_line_bytes = 65'536;

    struct session;

    void accept();
    void read(const std::shared_ptr<session>& connection);
    void answer(const std::shared_ptr<session>& connection, std::size_t size);

    tcp::acceptor m_acceptor;
    fault_proxy& m_links;
};

} // namespace azureladder::proxy
