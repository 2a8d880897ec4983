#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>

namespace azureladder::routing {

/// Size and time limits for connections from callers. The defaults apply until a configuration is
/// loaded.
struct client_limits
{
    std::uint32_t m_max_header_bytes = 16 * 1024;
    std::uint64_t m_max_body_bytes = 64ULL * 1024 * 1024;
    duration m_header_timeout = seconds(3);
    duration m_idle_timeout = seconds(15);
};

} // namespace azureladder::routing
