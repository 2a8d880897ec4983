#pragma once

#include "proxy_settings.hpp"

#include <azureladder/testbench/random_source.hpp>

#include <chrono>
#include <cstddef>

namespace azureladder::proxy {

using clock_type = std::chrono::steady_clock;

/// One direction of a link: its faults, its random numbers and its traffic counters.
class link_direction
{
public:
    link_direction(const fault_settings& faults, std::uint64_t seed)
        : m_faults(faults), m_random(seed)
    {
    }

    /// Decides whether the next datagram is lost.
    bool loses_datagram();

    /// Time at which a datagram of `size` bytes that arrives now leaves the link.
    clock_type::time_point datagram_release(std::size_t size);

    /// As above for TCP data; later data never leaves before earlier data of its connection.
    clock_type::time_point stream_release(std::size_t size, clock_type::time_point previous);

    json status() const;

    fault_settings m_faults;
    std::uint64_t m_passed_bytes = 0;
    std::uint64_t m_passed_units = 0;

    /// Datagrams dropped and TCP reads swallowed, for any reason.
    std::uint64_t m_dropped_units = 0;

private:
    clock_type::time_point transmission_end(std::size_t size);
    duration jittered_delay();

    testbench::random_source m_random;

    /// Time at which all earlier data has been sent at the configured bandwidth.
    clock_type::time_point m_transmission_end{};
};

} // namespace azureladder::proxy
