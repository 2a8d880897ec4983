#pragma once

#include "client_connection.hpp"

#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>
#include <azureladder/sidecar_runtime/protocol_codec.hpp>

#include <functional>

namespace azureladder::sidecar_runtime {

struct backend_checker_options
{
    /// The server runs on the same VM, where connecting takes milliseconds.
    milliseconds m_connect_timeout{300};

    /// Time for the whole check. A server whose slots are all in use may respond later.
    milliseconds m_timeout{1000};
};

/// Checks whether the backend server beside this node stays in service. Each check has a connection
/// of its own: the reducer has one open at a time, and a late response to a request would be read
/// as that to the check.
class backend_checker
{
public:
    using event_handler = std::function<void(sidecar::event)>;

    backend_checker(asio::io_context& io, const protocol_codec& codec, byte_budget& budget,
                    backend_checker_options options, event_handler on_event);

    /// Reports the result as one `backend_checked`.
    void check(const sidecar::check_backend& command);

private:
    asio::io_context& m_io;
    const protocol_codec& m_codec;
    byte_budget& m_budget;
    backend_checker_options m_options;
    event_handler m_on_event;
};

} // namespace azureladder::sidecar_runtime
