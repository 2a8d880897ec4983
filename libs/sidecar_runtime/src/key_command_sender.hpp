#pragma once

#include "client_connection.hpp"

#include <azureladder/base/clock.hpp>
#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>
#include <azureladder/sidecar_runtime/protocol_codec.hpp>

#include <functional>
#include <memory>

namespace azureladder::sidecar_runtime {

struct key_command_sender_options
{
    /// Time from the decision to the first byte, the new connection included. A grant that leaves
    /// later would outlast the hold that the node has recorded; half of the time that a hold allows
    /// for the way (`hold_slack` without 2 % of the hold).
    milliseconds m_max_send_delay{150};

    /// Longest time for a grant or a release, which waits for the work on its keys.
    milliseconds m_response_timeout{3000};
};

/// Sends grants and releases to the backend server beside this node, on connections of their own:
/// on a shared one, the late answer to a request could be taken for the answer to an order.
class key_command_sender
{
public:
    using event_handler = std::function<void(sidecar::event)>;

    key_command_sender(asio::io_context& io, const clock& time, const protocol_codec& codec,
                       key_command_sender_options options, event_handler on_event);

    void grant(const sidecar::grant_keys& command);
    void release(const sidecar::release_keys& command);

private:
    using connection_ptr = std::shared_ptr<client_connection>;

    connection_ptr open_connection(const std::string& address);

    /// Null when the connection that the order names has ended.
    connection_ptr find_connection(const sidecar::grant_keys& command);
    void keep_idle_connection(std::uint64_t connection_number, const connection_ptr& connection);
    void close_idle_connection();
    void report_outcome(std::uint64_t command_id, const exchange_outcome& outcome);

    asio::io_context& m_io;
    const clock& m_clock;
    const protocol_codec& m_codec;
    key_command_sender_options m_options;
    event_handler m_on_event;

    /// Highest number of a connection for grants, and that connection while it is idle.
    std::uint64_t m_latest_connection_number = 0;
    connection_ptr m_idle_connection;
};

} // namespace azureladder::sidecar_runtime
