#include "socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace azureladder::peer {

void set_socket_options(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const unsigned timeout = unacknowledged_timeout_ms;
    (void)setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                     sizeof timeout);
}

} // namespace azureladder::peer
