#include "overload_model.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace azureladder::routing {

namespace {

/// Arrivals at `base_share` of the capacity, and at `burst_share` from second 2 to second 7.
modelled_load burst(double base_share, double burst_share)
{
    modelled_load load;
    const double capacity = 12 / 0.230;
    load.m_arrivals_per_s = [=](duration at) {
        return capacity * (at >= seconds(2) && at < seconds(7) ? burst_share : base_share);
    };
    return load;
}

} // namespace

// Guards against a queue in which every request is served just too late: the requests that are
// served in time are at least as many as the server can execute, before, during and after a burst.
TEST(overload, serves_as_many_in_time_as_the_capacity_allows)
{
    for (const double base : {0.7, 0.9}) {
        const auto outcome = replay(burst(base, 2.0), {});
        EXPECT_GE(outcome.m_in_time, std::lround(12 / 0.230 * (5 * base + 5))) << base;
    }
}

// Guards against refusals of callers whose late response the capacity allows: some executions take
// three times as long as most, so queues form below the capacity, but they drain.
TEST(overload, refuses_nobody_below_the_capacity)
{
    for (const double share : {0.8, 0.9})
        EXPECT_EQ(replay(burst(share, share), {}).m_refusals, 0U) << share;
}

// Guards against servers that all start cold and get the requests of the restart in waves: callers
// are told to return as fast as the server starts requests, and those that return are served in
// time. The bounds are the cold rate for 8 s with the load of the last 2 s, and the starts of 1 s.
TEST(overload, accepts_requests_as_fast_as_a_cold_server_takes_them)
{
    modelled_load load = burst(0.6, 0.6);
    load.m_cold_rate_per_s = [](duration at) { return at < seconds(8) ? 11.0 : 0.0; };
    const auto outcome = replay(load, {});
    EXPECT_GE(outcome.m_in_time, std::lround(8 * 11 + 2 * 0.6 * 12 / 0.230));
    EXPECT_LE(outcome.m_most_retries_at_once, 11U);
}

} // namespace azureladder::routing
