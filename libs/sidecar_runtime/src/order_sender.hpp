#pragma once

#include "client_connection.hpp"

#include <azureladder/base/clock.hpp>
#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>
#include <azureladder/sidecar_runtime/protocol_codec.hpp>

#include <functional>
#include <memory>

namespace azureladder::sidecar_runtime {

struct order_sender_options
{
    /// Time from the decision to the first byte, the new connection included. A grant that leaves
    /// later would outlast the hold that the node has recorded; half of the time that a hold allows
    /// for the way (`hold_slack` without 2 % of the hold).
    milliseconds m_departure_limit{150};

    /// Longest time for a grant or a release, which waits for the work on its keys.
    milliseconds m_order_timeout{3000};
};

/// Sends grants and releases to the backend server beside this node, on connections of their own:
/// on a shared one, the late answer to a request could be taken for the answer to an order.
class order_sender
{
public:
    using report_function = std::function<void(sidecar::event)>;

    order_sender(asio::io_context& io, const clock& time, const protocol_codec& codec,
                 order_sender_options options, report_function report);

    void grant(const sidecar::grant_keys& order);
    void release(const sidecar::release_keys& order);

private:
    using connection_ptr = std::shared_ptr<client_connection>;

    connection_ptr open_connection(const std::string& address);

    /// Null when the connection that the order names has ended.
    connection_ptr take_connection(const sidecar::grant_keys& order);
    void keep(std::uint64_t number, const connection_ptr& connection);
    void close_idle();
    void report_end(std::uint64_t order, const exchange_outcome& outcome);

    asio::io_context& m_io;
    const clock& m_clock;
    const protocol_codec& m_codec;
    order_sender_options m_options;
    report_function m_report;

    /// Highest number of a connection for grants, and that connection while it is idle.
    std::uint64_t m_newest_number = 0;
    connection_ptr m_idle;
};

} // namespace azureladder::sidecar_runtime
