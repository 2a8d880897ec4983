#pragma once

#include <azureladder/routing/admission_controller.hpp>

#include <cstdint>
#include <functional>

namespace azureladder::routing {

/// Load of one route at one backend server in the queue model.
struct modelled_load
{
    std::uint32_t m_slots = 12;
    duration m_work = milliseconds(230);
    duration m_target = milliseconds(500);
    duration m_deadline = milliseconds(4000);
    std::uint32_t m_retries = 2;

    /// Duration of the load, and its arrivals in 1/s as a function of the time since its start.
    duration m_length = seconds(10);
    std::function<double(duration)> m_arrivals_per_s;

    /// Factor of the execution times as a function of the time since the start; no function if 1.
    std::function<double(duration)> m_slowdown;

    /// Cold rate in 1/s as a function of the time since the start; no function if never cold.
    std::function<double(duration)> m_cold_rate_per_s;
};

/// What callers got: each of them counts once in the first three.
struct modelled_outcome
{
    std::uint32_t m_in_time = 0;
    std::uint32_t m_late = 0;
    std::uint32_t m_refused = 0;

    /// Refusals including those after which the caller retried, and the largest number of callers
    /// that retry within 100 ms.
    std::uint32_t m_refusals = 0;
    std::uint32_t m_most_retries_at_once = 0;
};

/// Replays a load against the admission controller, in steps of 5 ms. Execution times are three
/// times longer in one of five intervals of 400 ms. Callers retry as `docs/hard-load.md` states.
modelled_outcome replay(const modelled_load& load, const admission_options& options);

} // namespace azureladder::routing
