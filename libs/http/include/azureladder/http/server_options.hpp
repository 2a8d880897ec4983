#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/time.hpp>

#include <cstddef>

namespace azureladder::http {

/// Options of `server`.
struct server_options
{
    /// Address to listen on. Port 0 selects a free port.
    endpoint m_listen_address{"127.0.0.1", 0};

    /// Initial number of threads. One of them waits for new connections.
    unsigned m_min_threads = 8;

    /// Maximum number of threads, and so of concurrent handler calls.
    unsigned m_max_threads = 128;

    /// Maximum size of a request body. Larger bodies are rejected with 413 before they are read.
    std::size_t m_max_body_bytes = std::size_t(1024) * 1024;

    /// Maximum time to receive the rest of a request header, and separately the request body.
    milliseconds m_read_timeout{10'000};

    /// Time after which an idle connection is closed.
    milliseconds m_idle_timeout{60'000};
};

} // namespace azureladder::http
