#pragma once

#include <chrono>
#include <cstdint>

namespace azureladder {

/// Clock type of monotonic times. Times of different processes are not comparable.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

using duration = monotonic_clock::duration;
using time_point = monotonic_clock::time_point;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Microseconds since an arbitrary origin, for logs and JSON.
constexpr std::int64_t to_us(time_point time)
{
    return time.time_since_epoch().count();
}

constexpr std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace azureladder
