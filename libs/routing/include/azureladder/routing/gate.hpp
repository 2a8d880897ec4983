#pragma once

#include <azureladder/base/enum_names.hpp>
#include <azureladder/routing/gate_options.hpp>
#include <azureladder/routing/gate_report.hpp>
#include <azureladder/routing/gate_request.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace azureladder::routing {

/// What a gate does with a request.
enum class admission
{
    start,
    wait,
    refuse
};

inline constexpr enum_name<admission> admission_names[] = {
    {admission::start, "start"},
    {admission::wait, "wait"},
    {admission::refuse, "refuse"},
};

/// Answer of a gate to a request.
struct admission_decision
{
    admission m_admission = admission::refuse;

    /// Predicted time until the request starts; for a refusal, when to come back.
    duration m_wait{};
};

/// Mean execution time of the requests of one route.
struct service_time_mean
{
    duration m_mean{};
    time_point m_last_sample;
};

/// Requests at one backend server. Changed by the functions below only.
struct gate
{
    /// Requests that the backend server executes at the same time; 0 while it takes none.
    std::uint32_t m_limit = 0;

    /// Requests a second that it bears; 0 when it is not cold.
    double m_cold_rate_per_s = 0.0;

    std::map<std::uint64_t, gate_request> m_running;

    /// Most urgent first: priority, then those that can meet their target, then target, then order
    /// of arrival.
    std::vector<gate_request> m_waiting;

    /// Since when requests have been waiting without a break.
    time_point m_queue_since;

    std::map<std::string, service_time_mean, std::less<>> m_service_times;
    duration m_mean_service_time{};
    time_point m_last_sample;
    double m_failure_share = 0.0;
    time_point m_last_outcome;

    /// Starts of the last second, oldest first.
    std::deque<time_point> m_starts;
};

/// Admits, queues or refuses a request. A started one counts as running until `finish`.
admission_decision offer(gate& state, const gate_request& request, time_point now,
                         const gate_options& options);

/// Requests that may start now. They count as running.
std::vector<gate_request> take_startable(gate& state, time_point now, const gate_options& options);

/// Removes the waiting requests that can no longer be answered before their deadline.
std::vector<gate_request> take_hopeless(gate& state, time_point now, const gate_options& options);

/// Outcome of an execution for the means of a gate.
enum class execution_outcome
{
    succeeded,
    failed,
    abandoned
};

/// Ends a running request. Abandoned executions change no mean of time.
void finish(gate& state, std::uint64_t id, duration elapsed, execution_outcome outcome,
            time_point now, const gate_options& options);

/// Removes a waiting request; false when it is not waiting.
bool remove_waiting(gate& state, std::uint64_t id);

/// Expected execution time of a request of this route.
duration expected_service_time(const gate& state, const std::string& route, time_point now,
                               const gate_options& options);

gate_report report_of(const gate& state, bool open, time_point now, const gate_options& options);

} // namespace azureladder::routing
