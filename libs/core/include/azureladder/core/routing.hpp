#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/core/effects.hpp>
#include <azureladder/core/events.hpp>
#include <azureladder/core/routing_state.hpp>

#include <cstddef>

/// Life of requests: admission, choice of the node, queueing, dispatch, retries, hedges, answers.
namespace azureladder::core {

struct node_state;

/// Handles events that concern requests and the backend server beside the node.
void step_routing(node_state& state, time_point now, const event& input, effects& output);

/// Requests of `slice` that are queued or dispatched to the backend server beside this node.
std::size_t in_flight(const node_state& state, const slice_id& slice);

/// All requests that this node still has to answer.
std::size_t open_requests(const node_state& state);

/// Slice that a key of a service divided by key belongs to. The service must exist.
slice_id slice_for_key(const node_state& state, const std::string& service, const std::string& key);

/// Upstreams, limits and measured load for `status`.
json routing_status(const node_state& state, time_point now);

} // namespace azureladder::core
