#pragma once

#include "step_context.hpp"

#include <cstdint>

namespace azureladder::sidecar {

routing::load_report own_load_report(step_context& context);

/// Counts an execution without a response against the backend server.
void record_unanswered_execution(const step_context& context, local_backend& backend);

/// Removes an execution and its retained result.
void remove_execution(step_context& context, std::uint64_t id);

/// Sends the result of an execution and retains it in case the origin has to resume.
void send_and_retain_result(step_context& context, backend_execution& execution, peer_frame result);

/// Whether the backend server reset the connection of an execution, which is still counted as
/// running, because it has no free slot. A server that resets as many in succession as it has slots
/// and answers none has failed.
bool is_reset_by_full_server(const node_state& state, const execution_ended& ended);

/// Updates from an ended execution whether the backend server is reachable and responds.
void update_backend_health(step_context& context, const execution_ended& ended);

/// Converts the result of an execution to a frame and sends it to the origin.
void send_execution_result(step_context& context, backend_execution& execution,
                           const execution_ended& ended);

/// Records the execution time and the latency of a request with a key. They decide about the
/// placement of keys.
void record_keyed_execution(const step_context& context, const backend_execution& execution);

} // namespace azureladder::sidecar
