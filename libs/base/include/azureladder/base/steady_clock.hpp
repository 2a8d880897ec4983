#pragma once

#include <azureladder/base/clock.hpp>

namespace azureladder {

/// Clock of the operating system. Uses CLOCK_BOOTTIME, because CLOCK_MONOTONIC stops while a VM
/// is suspended, so that a lease would be used after its expiry.
class steady_clock final : public clock
{
public:
    time_point now() const override;
    std::int64_t wall_time_us() const override;
};

} // namespace azureladder
