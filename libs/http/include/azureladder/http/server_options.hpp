#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/time.hpp>

#include <cstddef>

namespace azureladder::http {

/// Options of `server`.
struct server_options
{
    /// Address to listen on. Port 0 selects a free port.
    endpoint m_endpoint{"127.0.0.1", 0};

    /// Threads that exist from the start. One of them waits for new connections.
    unsigned m_min_threads = 8;

    /// Upper limit of threads, and thereby of concurrent handler calls.
    unsigned m_max_threads = 128;

    /// Larger request bodies are refused with 413 before they are read.
    std::size_t m_max_body_bytes = std::size_t(1024) * 1024;

    /// Longest time for the rest of a header, and again for the body of a request.
    milliseconds m_read_timeout{10'000};

    /// Idle connections are closed after this time.
    milliseconds m_idle_timeout{60'000};
};

} // namespace azureladder::http
