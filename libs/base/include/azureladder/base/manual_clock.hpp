#pragma once

#include <azureladder/base/clock.hpp>

namespace azureladder {

/// Clock for tests, advanced only by `advance`.
class manual_clock final : public clock
{
public:
    time_point now() const override { return m_now; }
    std::int64_t wall_time_us() const override { return to_us(m_now); }
    void advance(duration step) { m_now += step; }

private:
    time_point m_now{std::chrono::seconds(1)};
};

} // namespace azureladder
