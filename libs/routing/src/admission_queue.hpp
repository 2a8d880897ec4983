#pragma once

#include <azureladder/routing/admission_controller.hpp>

namespace azureladder::routing {

/// Order of the queue: calls, then by priority, then requests that can meet their target before
/// those that can't, then by target.
bool is_more_urgent(const admission_request& a, const admission_request& b);

/// Adds a request to the queue. `wait` is its predicted wait.
admission_decision enqueue(admission_controller& state, const admission_request& request,
                           duration wait, time_point now);

} // namespace azureladder::routing
