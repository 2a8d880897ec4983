#pragma once

#include <azureladder/http/server.hpp>
#include <azureladder/http/server_options.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace azureladder::http {

/// What the server and its responders share.
struct server_state
{
    server_options m_options;
    handler m_handler;
    std::atomic<bool> m_refusing{false};
};

} // namespace azureladder::http
