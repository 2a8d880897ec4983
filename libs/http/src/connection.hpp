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
    /// Connects to `server`. Sets `opened` only when it returns `ok`.
    static io_status open(const endpoint& server, const io_limits& limits,
                          std::unique_ptr<connection>& opened);

    /// Writes all of `data`. The result counts the bytes that the kernel accepted.
    io_result write(std::string_view data, const io_limits& limits);

    /// Waits for input and appends at least one byte to `text`.
    io_result read_into(std::string& text, const io_limits& limits);

    /// True if the server has neither closed the idle connection nor sent bytes on it.
    bool is_reusable() const;

    /// Time at which the connection was returned to the pool.
    time_point m_idle_since;

private:
    cxxtools::net::TcpSocket m_socket;
};

} // namespace azureladder::http
