#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace azureladder::peer {

/// TCP_USER_TIMEOUT: time after which the kernel ends a connection with unacknowledged data. Twice
/// the peer timeout; also ends half-open links that carry only untracked frames.
inline constexpr unsigned unacknowledged_timeout_ms = 3'000;

/// Sets TCP_NODELAY and TCP_USER_TIMEOUT. Errors are ignored, because a connection without these
/// options still works.
void set_socket_options(boost::asio::ip::tcp::socket& socket);

} // namespace azureladder::peer
