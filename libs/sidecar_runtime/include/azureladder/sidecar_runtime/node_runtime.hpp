#pragma once

#include <azureladder/base/clock.hpp>
#include <azureladder/sidecar_runtime/protocol_codec.hpp>
#include <azureladder/sidecar_runtime/sidecar_settings.hpp>

#include <memory>
#include <string>

namespace azureladder::sidecar_runtime {

/// Runs one node: binds its addresses, connects to its peers and serves until it is stopped.
class node_runtime
{
public:
    /// The references must outlive the runtime. Throws boost::system::system_error when an address
    /// can't be bound.
    node_runtime(const sidecar_settings& settings, std::string settings_path,
                 const protocol_codec& codec, const clock& time);
    node_runtime(const node_runtime&) = delete;
    node_runtime& operator=(const node_runtime&) = delete;
    ~node_runtime();

    /// Returns after SIGTERM or SIGINT, once open requests have finished or the stop grace period
    /// has expired. SIGHUP reloads the settings file.
    void run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace azureladder::sidecar_runtime
