#pragma once

#include "socket_io.hpp"

#include <azureladder/base/endpoint.hpp>

#include <cxxtools/net/tcpsocket.h>

#include <memory>
#include <string>

namespace azureladder::http {

/// One TCP connection of the client.
class connection
{
public:
    /// Connects to `server`. `opened` is set when the result is `ok`.
    static io_status open(const endpoint& server, const io_limits& limits,
                          std::unique_ptr<connection>& opened);

    /// Writes all of `data`; counts the bytes that the kernel took.
    io_result write(std::string_view data, const io_limits& limits);

    /// Appends at least one byte to `text`.
    io_result read_into(std::string& text, const io_limits& limits);

    /// True while the server neither closed the connection nor sent unexpected bytes.
    bool is_reusable() const;

    /// Time at which the connection was returned to the pool.
    time_point m_idle_since;

private:
    cxxtools::net::TcpSocket m_socket;
};

} // namespace azureladder::http
