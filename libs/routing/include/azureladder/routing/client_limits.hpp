#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>

namespace azureladder::routing {

/// What a caller's connection may send and how long it may take. The defaults are in force until
/// a configuration states others.
struct client_limits
{
    std::uint32_t m_max_header_bytes = 16 * 1024;
    std::uint64_t m_max_body_bytes = 64ULL * 1024 * 1024;
    duration m_header_timeout = seconds(3);
    duration m_idle_timeout = seconds(15);
};

} // namespace azureladder::routing
