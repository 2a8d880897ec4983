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
    /// Longest time from the decision to the first byte, including the time to connect. A grant
    /// that is sent later could be in effect at the server after the lease that the node has
    /// recorded has expired. Half of the transit time in a recorded lease (its slack minus 2 % of
    /// its duration).
    milliseconds m_max_send_delay{150};

    /// Longest time for the response to a grant or a release. A release is answered after the
    /// requests for its keys have finished.
    milliseconds m_response_timeout{3000};
};

/// Sends grants and releases of keys to the backend server beside this node. Uses separate
/// connections, because on a shared one a late response to a request could be read as the response
/// to a grant or release.
class key_command_sender
{
public:
    using event_handler = std::function<void(sidecar::event)>;

    key_command_sender(asio::io_context& io, const clock& time, const protocol_codec& codec,
                       byte_budget& budget, key_command_sender_options options,
                       event_handler on_event);

    void grant(const sidecar::grant_keys& command);
    void release(const sidecar::release_keys& command);

private:
    using connection_ptr = std::shared_ptr<client_connection>;

    connection_ptr open_connection(const std::string& address);

    /// Null when the connection that the command names is closed.
    connection_ptr find_connection(const sidecar::grant_keys& command);
    void keep_idle_connection(std::uint64_t connection_number, const connection_ptr& connection);
    void close_idle_connection();
    void report_outcome(std::uint64_t command_id, const exchange_outcome& outcome);

    asio::io_context& m_io;
    const clock& m_clock;
    const protocol_codec& m_codec;
    byte_budget& m_budget;
    key_command_sender_options m_options;
    event_handler m_on_event;

    /// Highest connection number of a grant, and that connection while it is idle.
    std::uint64_t m_latest_connection_number = 0;
    connection_ptr m_idle_connection;
};

} // namespace azureladder::sidecar_runtime
