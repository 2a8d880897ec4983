#pragma once

#include <azureladder/base/time.hpp>

#include <cstddef>
#include <string_view>

namespace azureladder::http {

/// Result of a socket operation.
enum class io_status
{
    ok,
    /// The peer closed its sending side.
    closed,
    timed_out,
    cancelled,
    failed
};

/// Result with the number of bytes that were read, or accepted by the kernel for sending.
struct io_result
{
    io_status m_status = io_status::failed;
    std::size_t m_bytes = 0;
};

/// Deadline and cancellation of a blocking operation. The operation ends with `cancelled` when
/// `m_cancel_descriptor` becomes readable; -1 disables cancellation.
struct io_limits
{
    time_point m_deadline;
    int m_cancel_descriptor = -1;
};

/// Current time of the steady clock that `io_limits::m_deadline` refers to.
time_point io_now();

/// Waits until poll() reports `events` (POLLIN or POLLOUT) on `descriptor`.
io_status wait_ready(int descriptor, short events, const io_limits& limits);

/// Waits for input and reads between one and `size` bytes.
io_result receive_some(int descriptor, char* buffer, std::size_t size, const io_limits& limits);

/// Writes all of `data`. `m_bytes` counts the bytes that the kernel accepted, also on failure.
io_result send_all(int descriptor, std::string_view data, const io_limits& limits);

/// Sets TCP_NODELAY, so that small segments do not wait for the acknowledgement of earlier ones,
/// which the peer may delay by 40 ms.
void disable_nagle(int descriptor);

/// True when a read would not block: bytes are pending, the peer closed, or the socket failed.
bool is_readable(int descriptor);

/// True when at least one byte is waiting to be read.
bool has_pending_bytes(int descriptor);

} // namespace azureladder::http
