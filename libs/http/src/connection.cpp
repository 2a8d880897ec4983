#include "connection.hpp"

#include <poll.h>

namespace azureladder::http {

namespace {

constexpr std::size_t read_block_bytes = 16'384;

} // namespace

io_status connection::open(const endpoint& server, const io_limits& limits,
                           std::unique_ptr<connection>& opened)
{
    auto created = std::make_unique<connection>();
    try {
        auto& socket = created->m_socket;
        if (!socket.beginConnect(server.m_host, server.m_port)) {
            const auto status = wait_ready(socket.getFd(), POLLOUT, limits);
            if (status != io_status::ok)
                return status;
        }
        socket.endConnect();
        disable_nagle(socket.getFd());
    } catch (const std::exception&) {
        return io_status::failed;
    }
    opened = std::move(created);
    return io_status::ok;
}

io_result connection::write(std::string_view data, const io_limits& limits)
{
    return send_all(m_socket.getFd(), data, limits);
}

io_result connection::read_into(std::string& text, const io_limits& limits)
{
    const auto old_size = text.size();
    text.resize(old_size + read_block_bytes);
    const auto received =
        receive_some(m_socket.getFd(), text.data() + old_size, read_block_bytes, limits);
    text.resize(old_size + received.m_bytes);
    return received;
}

bool connection::is_reusable() const
{
    return !is_readable(m_socket.getFd());
}

} // namespace azureladder::http
