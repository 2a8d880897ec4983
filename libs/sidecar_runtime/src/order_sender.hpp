#pragma once

#include "client_connection.hpp"

#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>
#include <azureladder/sidecar_runtime/translation.hpp>

#include <functional>
#include <memory>

namespace azureladder::sidecar_runtime {

struct order_sender_options
{
    /// The server is on the same VM, so that a connection takes milliseconds.
    milliseconds m_connect_timeout{300};

    /// Longest time for a grant or a release, which waits for the work on its keys.
    milliseconds m_order_timeout{3000};
};

/// Sends grants and releases to the backend server beside this node, on connections of their own:
/// on a shared one, the late answer to a request could be taken for the answer to an order.
class order_sender
{
public:
    using report_function = std::function<void(sidecar::event)>;

    order_sender(asio::io_context& io, const translation& formats, order_sender_options options,
                 report_function report);

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
    const translation& m_formats;
    order_sender_options m_options;
    report_function m_report;

    /// Highest number of a connection for grants, and that connection while it is idle.
    std::uint64_t m_newest_number = 0;
    connection_ptr m_idle;
};

} // namespace azureladder::sidecar_runtime
