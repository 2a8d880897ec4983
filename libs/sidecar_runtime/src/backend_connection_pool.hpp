#pragma once

#include "client_connection.hpp"

#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>
#include <azureladder/sidecar_runtime/protocol_codec.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace azureladder::sidecar_runtime {

struct backend_connection_pool_options
{
    /// The server runs on the same VM, where connecting takes milliseconds.
    milliseconds m_connect_timeout{300};

    /// Added to the remaining time of a request for its timeout. The node that received the request
    /// cancels it at its deadline; this timeout ends executions that no node cancels.
    milliseconds m_timeout_margin{1500};
};

/// HTTP connections to the backend server beside this node, reused between executions.
class backend_connection_pool
{
public:
    using event_handler = std::function<void(sidecar::event)>;

    /// `budget` limits the memory of unfinished responses.
    backend_connection_pool(asio::io_context& io, const protocol_codec& codec, byte_budget& budget,
                            backend_connection_pool_options options, event_handler on_event);

    void start(const sidecar::start_execution& execution);
    void cancel(std::uint64_t execution);

private:
    using connection_ptr = std::shared_ptr<client_connection>;

    connection_ptr acquire_connection(const std::string& address);
    void return_connection(const std::string& address, const connection_ptr& connection);

    asio::io_context& m_io;
    const protocol_codec& m_codec;
    byte_budget& m_budget;
    backend_connection_pool_options m_options;
    event_handler m_on_event;
    std::map<std::string, std::vector<connection_ptr>> m_idle_connections;
    std::map<std::uint64_t, connection_ptr> m_running_executions;
};

} // namespace azureladder::sidecar_runtime
