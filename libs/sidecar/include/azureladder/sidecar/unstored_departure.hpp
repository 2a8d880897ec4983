#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>

namespace azureladder::sidecar {

/// Departure of a backend server that the store is not known to have.
struct unstored_departure
{
    /// Start of the newest incarnation that left, in Unix milliseconds.
    std::int64_t m_started_at_ms = 0;
    time_point m_recorded_at;
};

} // namespace azureladder::sidecar
