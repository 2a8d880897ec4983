#pragma once

#include <azureladder/base/enum_names.hpp>
#include <azureladder/routing/admission_options.hpp>
#include <azureladder/routing/admission_request.hpp>
#include <azureladder/routing/load_report.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace azureladder::routing {

/// Decision of the admission controller about a request.
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

/// Admission decision with the predicted wait.
struct admission_decision
{
    admission m_admission = admission::refuse;

    /// Predicted time until the request starts; for a rejection, the recommended time to the next
    /// attempt.
    duration m_predicted_wait{};

    /// Whether a waiting request is expected to miss its target.
    bool m_is_late = false;
};

/// Moving average of the execution time of one route's requests.
struct service_time_average
{
    duration m_mean{};
    time_point m_last_sample_at;
};

/// Decaying sums of the recent arrivals of requests that could meet their target.
struct offered_load
{
    double m_requests = 0.0;

    /// Their expected execution times in seconds.
    double m_work = 0.0;
    time_point m_at;
};

/// Admission controller of one backend server: its limits, its running and waiting requests, and
/// the moving averages of its executions.
struct admission_controller
{
    /// Maximum number of concurrent requests; 0 while the backend server accepts none.
    std::uint32_t m_limit = 0;

    /// Share of the limit for requests that are not calls, 0 to 1; below 1 while the services that
    /// their executions call are short of capacity (`call_shortage`).
    double m_new_request_share = 1.0;

    /// Request rate in 1/s that the backend server supports while cold; 0 if it is not cold.
    double m_cold_rate_per_s = 0.0;

    /// Running requests by id.
    std::map<std::uint64_t, admission_request> m_running;

    /// Waiting requests, the most urgent first: calls, then by priority, then those that can meet
    /// their target before those that can't, then by target (late ones by deadline), then by
    /// arrival.
    std::vector<admission_request> m_waiting;

    /// Number of waiting requests that became late in the queue and yielded to others.
    std::uint64_t m_demoted_count = 0;

    /// Time of the last of them.
    time_point m_last_demoted_at;

    /// Number of requests that were late when they were queued.
    std::uint64_t m_queued_late_count = 0;

    /// Number of late requests that were started.
    std::uint64_t m_late_start_count = 0;

    /// Earliest time at which the caller of the next request that is refused by a cold server is
    /// asked to retry.
    time_point m_next_retry_at;

    /// Arrivals that the leftover capacity is derived from.
    offered_load m_offered;

    /// Time since which requests that can meet their target are waiting, without requests that
    /// are held back.
    time_point m_queue_nonempty_since;

    /// Moving averages of the execution time by route.
    std::map<std::string, service_time_average, std::less<>> m_service_times;

    /// Moving average of the execution time over all routes, and the time of its last sample.
    duration m_mean_service_time{};
    time_point m_last_sample_at;

    /// Moving average of the share of failed executions, 0 to 1, and the time of its last sample.
    double m_failure_share = 0.0;
    time_point m_last_outcome_at;

    /// Start times of recent requests for the rate limit during a cold start, oldest first.
    std::deque<time_point> m_recent_starts;

    /// Running requests that await their bodies. They count as recent starts until they are
    /// executed, because all of them may be executed in the same second.
    std::size_t m_awaited_bodies = 0;
};

/// Starts, queues or rejects a request. A started request counts as running until `finish`.
admission_decision admit(admission_controller& state, const admission_request& request,
                         time_point now, const admission_options& options);

/// Starts the waiting requests that may run now and returns them, the most urgent first.
std::vector<admission_request> start_waiting_requests(admission_controller& state, time_point now,
                                                      const admission_options& options);

/// Removes and returns the waiting requests that can no longer be answered before their deadline.
std::vector<admission_request> remove_unanswerable_requests(admission_controller& state,
                                                            time_point now,
                                                            const admission_options& options);

/// Outcome of an execution, for the moving averages of the admission controller.
enum class execution_outcome
{
    succeeded,
    failed,
    abandoned
};

/// Ends a running request. Abandoned executions don't count in the moving averages, failed ones
/// only in the failure share.
void finish_execution(admission_controller& state, std::uint64_t id, duration elapsed,
                      execution_outcome outcome, time_point now, const admission_options& options);

/// Holds a waiting request back, or lets it start.
void set_held_back(admission_controller& state, std::uint64_t id, bool is_held_back,
                   time_point now);

/// Records that the body of a request has arrived. A running request is executed from now on, a
/// waiting one gets `deadline`, in which the time for the transfer is not deducted any more.
void record_arrived_body(admission_controller& state, std::uint64_t id, time_point deadline,
                         time_point now);

/// Removes a waiting request. Returns false if the request is not waiting.
bool remove_waiting_request(admission_controller& state, std::uint64_t id);

/// Expected execution time of a request of `route`; the mean over all routes if this one has not
/// been executed yet.
duration expected_service_time(const admission_controller& state, const std::string& route,
                               time_point now, const admission_options& options);

/// Load report of the admission controller. `open` is whether the node accepts new requests.
load_report make_load_report(const admission_controller& state, bool open, time_point now,
                             const admission_options& options);

} // namespace azureladder::routing
