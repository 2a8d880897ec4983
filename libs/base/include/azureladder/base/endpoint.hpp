#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azureladder {

/// IP address and port.
struct endpoint
{
    std::string m_host;
    std::uint16_t m_port = 0;
};

inline bool operator==(const endpoint& a, const endpoint& b)
{
    return a.m_port == b.m_port && a.m_host == b.m_host;
}

inline bool operator!=(const endpoint& a, const endpoint& b)
{
    return !(a == b);
}

/// Parses "127.0.0.1:8080" or "[::1]:8080". Rejects host names: processes connect
/// to each other by IP address.
std::optional<endpoint> parse_endpoint(std::string_view text);

std::string to_string(const endpoint& address);

} // namespace azureladder
