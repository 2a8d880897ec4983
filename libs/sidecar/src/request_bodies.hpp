#pragma once

#include "step_context.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace azureladder::sidecar {

// Bodies that travel apart from their requests, at the gate.

/// Moves the body of an execution to another place and updates the totals.
void set_body_place(node_state& state, backend_execution& execution, body_place place);

/// Notes that the body of a new execution travels apart from the request, unless `bytes` is 0.
void add_separate_body(node_state& state, backend_execution& execution, std::size_t bytes);

/// Whether a request has to wait for its body before it can be executed.
bool lacks_body(const backend_execution& execution);

/// Requests bodies, as far as link and memory allow: first again for the requests that hold a slot
/// and have lost theirs, then for the waiting ones that are expected to get a slot soon. Returns
/// whether waiting requests may start now that could not before.
bool request_bodies(step_context& context);

/// Whether a request with a separate body has to be refused because of the bodies ahead of it.
/// Otherwise takes the time of its own transfer off its target and deadline.
bool is_refused_for_its_body(const node_state& state, routing::admission_request& request,
                             std::size_t body_bytes, time_point now);

/// Time after which a request that was refused because of the bodies ahead may be tried again.
duration body_retry_delay(const node_state& state);

/// The request with its body, which moves out of the execution. The execution keeps no reference
/// to the result, because it is retained long after its end.
forwarded_request_ptr take_complete_request(backend_execution& execution);

/// Executions that hold a slot and have not started, because their bodies have not arrived.
std::vector<std::uint64_t> executions_without_bodies(const node_state& state);

/// Notes that the connection that carries a body in transfer is lost.
void on_body_link_lost(node_state& state, backend_execution& execution, time_point now);

} // namespace azureladder::sidecar
