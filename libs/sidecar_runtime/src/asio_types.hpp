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

/// How a connection finds out that its other end is gone without a reset.
struct tcp_liveness_options
{
    /// Idle time before the first keep-alive probe, and time between probes, in seconds.
    int m_keep_alive_idle_s = 1;
    int m_keep_alive_interval_s = 1;
    int m_keep_alive_probes = 2;

    /// Time that sent bytes may stay without acknowledgement.
    milliseconds m_user_timeout{2000};
};

/// Sends small messages at once and lets the kernel detect silent connections.
void set_connection_options(tcp::socket& socket, const tcp_liveness_options& options = {});

} // namespace azureladder::sidecar_runtime
