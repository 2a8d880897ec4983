#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/time.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>

#include <string>

namespace azureladder::sidecar_runtime {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

inline tcp::endpoint to_tcp_endpoint(const endpoint& address)
{
    return {asio::ip::make_address(address.m_host), address.m_port};
}

/// TCP options that detect a peer which is gone without a reset.
struct tcp_liveness_options
{
    /// Idle time before the first keep-alive probe and interval between probes, in seconds; probes
    /// without an acknowledgement after which the connection fails.
    int m_keep_alive_idle_s = 1;
    int m_keep_alive_interval_s = 1;
    int m_keep_alive_probes = 2;

    /// TCP_USER_TIMEOUT: longest time that sent bytes may remain unacknowledged.
    milliseconds m_user_timeout{2000};
};

/// Disables Nagle's algorithm and enables the kernel's detection of dead peers.
void set_connection_options(tcp::socket& socket, const tcp_liveness_options& options = {});

} // namespace azureladder::sidecar_runtime
