#include "asio_types.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace azureladder::sidecar_runtime {

void set_connection_options(tcp::socket& socket, const tcp_liveness_options& options)
{
    // Errors of a closed socket are ignored here; its next operation reports them.
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int descriptor = socket.native_handle();
    const unsigned user_timeout_ms = static_cast<unsigned>(options.m_user_timeout.count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &options.m_keep_alive_idle_s, sizeof(int));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &options.m_keep_alive_interval_s,
               sizeof(int));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &options.m_keep_alive_probes, sizeof(int));
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
}

} // namespace azureladder::sidecar_runtime
