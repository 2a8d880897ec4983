#pragma once

#include <azureladder/routing/admission_controller.hpp>

namespace azureladder::routing {

/// Refuses a request that would wait for `wait`, and recommends when to retry. While the server is
/// cold, successive refusals name times that are as far apart as its starts, so that callers of a
/// system that restarts do not return together. A time beyond a third of the caller's remaining
/// time would not be honoured: the sequence starts again then.
admission_decision refuse(admission_controller& state, const admission_request& request,
                          duration wait, time_point now, const admission_options& options);

} // namespace azureladder::routing
