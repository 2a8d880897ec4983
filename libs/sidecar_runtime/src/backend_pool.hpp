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

struct backend_pool_options
{
    /// The server is on the same VM, so that a connection takes milliseconds.
    milliseconds m_connect_timeout{300};

    /// Executions end by the cancellation of their origin; this bounds those that nobody ends.
    milliseconds m_execution_slack{1500};
};

/// Connections to the backend server beside this node.
class backend_pool
{
public:
    using report_function = std::function<void(sidecar::event)>;

    backend_pool(asio::io_context& io, const protocol_codec& codec, backend_pool_options options,
                 report_function report);

    void start(const sidecar::start_execution& execution);
    void cancel(std::uint64_t execution);

private:
    using connection_ptr = std::shared_ptr<client_connection>;

    connection_ptr take_connection(const std::string& address);
    void give_back(const std::string& address, const connection_ptr& connection);

    asio::io_context& m_io;
    const protocol_codec& m_codec;
    backend_pool_options m_options;
    report_function m_report;
    std::map<std::string, std::vector<connection_ptr>> m_idle;
    std::map<std::uint64_t, connection_ptr> m_running;
};

} // namespace azureladder::sidecar_runtime
