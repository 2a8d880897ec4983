#pragma once

#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>
#include <azureladder/sidecar/node_state.hpp>

namespace azureladder::sidecar {

node_state make_node(const node_options& options, time_point now, std::uint64_t seed);

/// Applies one event and returns what has to be done, in order.
effects step(node_state& state, const event& happened, time_point now);

/// Whether the node may get new work: it knows a configuration and is not about to stop.
bool is_ready(const node_state& state);

/// State of this node's backend server as the others see it.
node_status status_of(const node_state& state, time_point now);

} // namespace azureladder::sidecar
