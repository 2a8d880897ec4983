#pragma once

#include <azureladder/base/time.hpp>

#include <cstddef>
#include <string_view>

namespace azureladder::http {

/// Outcome of one operation on a socket.
enum class io_status
{
    ok,
    /// The peer closed its side.
    closed,
    timed_out,
    cancelled,
    failed
};

/// Outcome with the number of bytes that were read or handed to the kernel.
struct io_result
{
    io_status m_status = io_status::failed;
    std::size_t m_bytes = 0;
};

/// Limits of a blocking operation. `m_cancel_descriptor` is -1 when it cannot be cancelled.
struct io_limits
{
    time_point m_deadline;
    int m_cancel_descriptor = -1;
};

/// Current time of the clock that deadlines refer to.
time_point io_now();

/// Waits until `events` (POLLIN or POLLOUT) are ready on `descriptor`.
io_status wait_ready(int descriptor, short events, const io_limits& limits);

/// Reads at least one byte.
io_result receive_some(int descriptor, char* buffer, std::size_t size, const io_limits& limits);

/// Writes all of `data`; `m_bytes` counts what the kernel took, also on failure.
io_result send_all(int descriptor, std::string_view data, const io_limits& limits);

/// Sends small segments at once instead of waiting for the acknowledgement of earlier ones, which
/// the peer may delay by 40 ms.
void disable_nagle(int descriptor);

/// True when bytes or the end of the stream are waiting to be read.
bool is_readable(int descriptor);

/// True when at least one byte is waiting to be read.
bool has_pending_bytes(int descriptor);

} // namespace azureladder::http
