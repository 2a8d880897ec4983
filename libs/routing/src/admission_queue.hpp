#pragma once

#include <azureladder/routing/admission_controller.hpp>

namespace azureladder::routing {

/// Order of the queue: calls, then by priority, then requests that can meet their target before
/// those that can't, then by target; late requests by deadline.
bool is_more_urgent(const admission_request& a, const admission_request& b);

/// Marks the waiting requests that can't meet their target any more as late, so that the others go
/// first. Calls are left as they are: their targets say nothing about the target of the execution
/// that waits for them.
void demote_late_requests(admission_controller& state, time_point now,
                          const admission_options& options);

/// Whether a request that can meet its target is waiting and is not held back.
bool is_queued_in_time(const admission_controller& state);

/// The most urgent waiting request that is not held back; the end of the queue if there is none.
std::vector<admission_request>::const_iterator first_startable(const admission_controller& state);

/// Adds a request to the queue. `wait` is its predicted wait.
admission_decision enqueue(admission_controller& state, const admission_request& request,
                           duration wait, time_point now, const admission_options& options);

} // namespace azureladder::routing
