#pragma once

#include <azureladder/routing/admission_controller.hpp>

namespace azureladder::routing {

/// Window of the rate limit for cold backend servers.
inline constexpr duration cold_window = seconds(1);

/// Largest number of starts in a window.
std::size_t max_starts_in_cold_window(const admission_controller& state,
                                      const admission_options& options);

/// Fraction of its distance to the default that a moving average has lost by `now`: a tenth of the
/// rest for each second after `m_decay_after`.
double decayed_share(time_point last_sample, time_point now, const admission_options& options);

/// Moving average by `now`; the default before the first sample.
duration decayed_mean(duration mean, time_point last_sample, time_point now,
                      const admission_options& options);

/// Whether the slots for requests of this kind (calls or others) are in use.
bool is_at_limit(const admission_controller& state, bool is_call);

/// Mean expected execution time of the running requests; zero if there are none.
duration mean_running_service_time(const admission_controller& state, time_point now,
                                   const admission_options& options);

/// Predicted time until `request` would start. One running request has to end for each request
/// ahead of it and one for the request itself; `m_limit` requests are executed concurrently, or the
/// share of it that may be used. `duration::max()` if none may be used.
duration predicted_wait(const admission_controller& state, const admission_request& request,
                        time_point now, const admission_options& options);

/// Adds a request that could meet its target if it started now.
void record_offered(admission_controller& state, duration service, time_point now,
                    const admission_options& options);

/// Share of the capacity that recent requests that could meet their target did not use, 0 to 1.
double leftover_share(const admission_controller& state, time_point now,
                      const admission_options& options);

/// Predicted time until a late request would start with the leftover capacity;
/// `duration::max()` if too little is left.
duration predicted_late_wait(const admission_controller& state, const admission_request& late,
                             time_point now, const admission_options& options);

} // namespace azureladder::routing
