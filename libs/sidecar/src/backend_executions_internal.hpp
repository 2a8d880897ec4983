#pragma once

#include "step_context.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace azureladder::sidecar {

json execution_fields(const backend_execution& execution);

/// Owner of a key according to the range table, unless it is this node.
std::optional<owner_hint> other_owner(const node_state& state, const std::string& service,
                                      std::uint32_t key);

/// Sends a refusal of a request to its origin.
void refuse(step_context& context, std::uint64_t link, std::uint64_t frame,
            const forwarded_request& request, refusal_reason reason, duration retry_after);

/// Sends a request with its body to the backend server, which must be present.
void begin_execution(step_context& context, backend_execution& execution);

/// Ends a request that has not started in the admission controller.
void remove_unstarted(node_state& state, std::uint64_t id, time_point now);

/// Refuses a request that has not started, whether it waits or holds a slot while its body is in
/// transfer, and removes it.
void refuse_unstarted(step_context& context, std::uint64_t id, refusal_reason reason,
                      duration retry_after);

/// Starts the execution of a request that holds a slot, if its body is here. Returns false if the
/// request was refused instead, because the server or the lease on its key is gone; its slot is
/// free then.
bool begin_if_possible(step_context& context, std::uint64_t id);

} // namespace azureladder::sidecar
