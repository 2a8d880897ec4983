#include "socket_io.hpp"

#include <azureladder/base/steady_clock.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace azureladder::http {

namespace {

// Rounds up, because a timeout of 0 would make the caller poll in a busy loop during the last
// fraction of a millisecond.
int poll_timeout_ms(time_point deadline)
{
    constexpr std::int64_t longest_ms = 60'000;
    const auto left = std::chrono::ceil<milliseconds>(deadline - io_now()).count();
    return int(std::clamp<std::int64_t>(left, 0, longest_ms));
}

bool would_block(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

time_point io_now()
{
    return steady_clock().now();
}

io_status wait_ready(int descriptor, short events, const io_limits& limits)
{
    pollfd watched[] = {{descriptor, events, 0}, {limits.m_cancel_descriptor, POLLIN, 0}};
    const nfds_t count = limits.m_cancel_descriptor >= 0 ? 2 : 1;
    for (;;) {
        const int ready = ::poll(watched, count, poll_timeout_ms(limits.m_deadline));
        if (ready < 0 && errno != EINTR)
            return io_status::failed;
        if (ready > 0 && count == 2 && watched[1].revents != 0)
            return io_status::cancelled;
        if (ready > 0 && watched[0].revents != 0)
            return io_status::ok;
        if (io_now() >= limits.m_deadline)
            return io_status::timed_out;
    }
}

io_result receive_some(int descriptor, char* buffer, std::size_t size, const io_limits& limits)
{
    for (;;) {
        const auto received = ::recv(descriptor, buffer, size, MSG_DONTWAIT);
        if (received > 0)
            return {io_status::ok, std::size_t(received)};
        if (received == 0)
            return {io_status::closed, 0};
        if (!would_block(errno))
            return {io_status::failed, 0};
        const auto status = wait_ready(descriptor, POLLIN, limits);
        if (status != io_status::ok)
            return {status, 0};
    }
}

io_result send_all(int descriptor, std::string_view data, const io_limits& limits)
{
    std::size_t total = 0;
    while (total < data.size()) {
        const auto sent = ::send(descriptor, data.data() + total, data.size() - total,
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent >= 0) {
            total += std::size_t(sent);
            continue;
        }
        if (!would_block(errno))
            return {io_status::failed, total};
        const auto status = wait_ready(descriptor, POLLOUT, limits);
        if (status != io_status::ok)
            return {status, total};
    }
    return {io_status::ok, total};
}

void disable_nagle(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool is_readable(int descriptor)
{
    char byte = 0;
    const auto received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || !would_block(errno);
}

bool has_pending_bytes(int descriptor)
{
    char byte = 0;
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace azureladder::http
