#pragma once

#include <azureladder/base/time.hpp>

namespace azureladder {

/// Source of time for the runtime. Tests use `manual_clock`.
class clock
{
public:
    virtual ~clock() = default;

    /// Monotonic time of this process. Advances while the process is suspended by a signal.
    virtual time_point now() const = 0;

    /// Wall clock time in microseconds since 1970-01-01 UTC. For logs, and for comparison
    /// with timestamps of other processes.
    virtual std::int64_t wall_time_us() const = 0;
};

} // namespace azureladder
