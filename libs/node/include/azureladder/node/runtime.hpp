#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/result.hpp>
#include <azureladder/node/node_error.hpp>

#include <memory>

namespace azureladder {
class clock;
}

namespace azureladder::platform {
class store;
}

namespace azureladder::settings {
struct node_settings;
}

namespace azureladder::node {

class runtime_impl;

/// A router node: event loop, reducer, listeners and clients. The clock and the store must outlive
/// it.
class runtime
{
public:
    runtime(const settings::node_settings& settings, const clock& time, platform::store& store);
    ~runtime();

    runtime(const runtime&) = delete;
    runtime& operator=(const runtime&) = delete;

    /// Opens the listeners. Must be called once, before `run`.
    result<void, node_error> start();

    /// Runs the event loop until a graceful stop has finished. Returns the exit code: 0 after a
    /// complete stop, 1 when the stop timed out with open requests or unreleased slices.
    int run();

    /// Starts a graceful stop. May be called from any thread.
    void request_stop();

    /// Address on which callers are served. Valid after `start`.
    endpoint http_address() const;

    /// Address of the peer listener. Valid after `start`.
    endpoint peer_address() const;

private:
    std::unique_ptr<runtime_impl> m_impl;
};

} // namespace azureladder::node
