#pragma once

#include <azureladder/sidecar/check_turn.hpp>
#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>
#include <azureladder/sidecar/node_state.hpp>

namespace azureladder::sidecar {

node_state make_node(const node_options& options, time_point now, std::uint64_t seed);

/// Applies one event to the state. Returns the effects to execute, in order.
effects step(node_state& state, const event& input, time_point now);

/// Whether the node accepts new requests: it has a configuration and is not stopping.
bool is_ready(const node_state& state);

/// Turn of this node among the nodes that it is connected to.
check_turn check_turn_of(const node_state& state);

/// Status of the local backend server as reported to peers.
node_status status_of(const node_state& state, time_point now);

} // namespace azureladder::sidecar
