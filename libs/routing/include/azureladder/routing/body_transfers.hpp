#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/routing/admission_options.hpp>
#include <azureladder/routing/admission_request.hpp>

#include <cstddef>
#include <cstdint>

namespace azureladder::routing {

// Load pattern: many ingresses send bodies of 60 KB on average, 360 KB at most, to the few backend
// servers of one service, each behind a link of 10 Mbit/s. Calls and pings share this link and miss
// their deadlines if more bodies arrive at once than the link delivers.

/// Limits of the bodies that a node receives for its backend server.
struct body_transfer_options
{
    /// Rate of the part of the link that bodies may use, in bytes a second; 0 for no limit.
    double m_bytes_per_s = 0.0;

    /// Longest time that the link needs for all bodies in transfer. A call may wait behind them for
    /// this time, and has a target of 250 ms. Three bodies of mean size fit at 10 Mbit/s, so the
    /// link stays in use while a request for the next body is on its way.
    duration m_max_transfer_time = milliseconds(200);

    /// Time after which a transfer is limited by another link than this node's and does not count
    /// as load of this one any more.
    duration m_slow_transfer_after = seconds(1);

    /// Time from the request for a body to its first byte: the round trip between two zones and
    /// the scheduling of two processes with a tenth of a core.
    duration m_request_time = milliseconds(20);

    /// Memory of the bodies that are in transfer, wait or are being executed. A body above it is
    /// received alone.
    std::size_t m_max_bytes = 16'000'000;
};

/// Bodies at a node, in bytes.
struct body_load
{
    /// Requested bodies that have not arrived.
    std::size_t m_in_transfer = 0;

    /// Requested bodies, and arrived ones until their execution has ended.
    std::size_t m_memory = 0;
};

/// Time that the link of the node needs for these bytes; zero if its rate is unknown.
duration body_transfer_time(std::size_t bytes, const body_transfer_options& options);

/// Whether a body of `bytes` bytes may be requested now. One body is always allowed.
bool may_request_body(const body_load& load, std::size_t bytes,
                      const body_transfer_options& options);

/// Number of running requests that are expected to end before a body of `bytes` bytes can arrive.
/// The bodies of as many waiting requests are requested before a slot is free, so that it is not
/// idle during the transfer. `service_time` is the mean execution time.
std::size_t body_prefetch_count(const body_load& load, std::size_t bytes, std::uint32_t slots,
                                duration service_time, const body_transfer_options& options);

/// Whether a request has to be refused because the bodies of `backlog` bytes ahead of its own one
/// delay it too long: it would miss its target, or for a retry a share of the time to its deadline.
/// A request without others ahead is never refused.
bool is_body_backlog_too_long(const admission_request& request, std::size_t backlog,
                              std::size_t bytes, duration service_time, time_point now,
                              const admission_options& admission,
                              const body_transfer_options& options);

} // namespace azureladder::routing
