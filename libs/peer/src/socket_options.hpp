#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace azureladder::peer {

/// Time for which sent data may stay unacknowledged before the kernel ends the connection. Twice
/// the silence timeout; it also ends half-open links that carry only untracked frames.
inline constexpr unsigned unacknowledged_timeout_ms = 3'000;

/// Sends small frames at once and bounds the life of half-open connections. Failures are ignored,
/// because a connection without these options still works.
void tune_socket(boost::asio::ip::tcp::socket& socket);

} // namespace azureladder::peer
