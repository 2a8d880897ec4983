#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/core/effects.hpp>
#include <azureladder/core/events.hpp>
#include <azureladder/core/routing_state.hpp>

#include <cstddef>

/// Request lifecycle: admission, node selection, queueing, dispatch, retries, hedges and answers.
namespace azureladder::core {

struct node_state;

/// Handles events that concern requests and the local backend server.
void step_routing(node_state& state, time_point now, const event& input, effects& output);

/// Number of requests of `slice` that are queued for the local backend server, dispatched to it or
/// waiting for the standby's acknowledgement of their claim.
std::size_t in_flight_request_count(const node_state& state, const slice_id& slice);

/// Number of requests that this node has not answered yet.
std::size_t open_request_count(const node_state& state);

/// Slice of a key of a service divided by key. The service must exist.
slice_id slice_for_key(const node_state& state, const std::string& service, const std::string& key);

/// Upstreams, concurrency limit and measured latencies for the status page.
json routing_status(const node_state& state, time_point now);

} // namespace azureladder::core
