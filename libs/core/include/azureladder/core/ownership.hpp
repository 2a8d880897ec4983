#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/core/effects.hpp>
#include <azureladder/core/events.hpp>
#include <azureladder/core/ownership_state.hpp>

#include <optional>
#include <string>
#include <vector>

/// Leases, plans, takeover, release and moves of slices; docs/design.md, section 3.
namespace azureladder::core {

struct node_state;

/// Handles events that concern leases and ownership.
void step_ownership(node_state& state, time_point now, const event& input, effects& output);

/// Whether the plan of the current incarnation is in the store.
bool plan_written(const node_state& state);

/// Store keys of all plan shards.
std::vector<std::string> plan_shard_keys(const node_state& state);

/// Plans in the text of a plan shard; unreadable entries are left out.
std::vector<plan> plans_from_text(const std::string& text);

/// Whether this node holds unexpired grants from the majorities that its plan requires.
bool holds_lease(const node_state& state, time_point now);

/// Time at which the majority of grants ends in this node's own view; the past when not held.
time_point lease_end(const node_state& state);

/// Epoch under which this node may serve `slice` now, if it may. False while the slice waits for
/// executions of the former owner to end, or while it is being given up.
std::optional<epoch_number> serving_epoch(const node_state& state, const slice_id& slice,
                                          time_point now);

/// Whether this node takes new work at all: it holds a lease, is not stopping, and neither its
/// zone nor its backend server is out of service.
bool takes_new_work(const node_state& state, time_point now);

/// Whether the plan of the current incarnation is in the store. The configuration must be read from
/// the store after that and before the first lease request.
bool plan_written(const node_state& state);

/// Owner, lease, plan and slices for `status`.
json ownership_status(const node_state& state, time_point now);

} // namespace azureladder::core
