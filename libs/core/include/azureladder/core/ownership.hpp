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

/// Leases, plans, takeovers, releases and moves of slices; docs/design.md, section 3.
namespace azureladder::core {

struct node_state;

/// Handles the events of the ownership module.
void step_ownership(node_state& state, time_point now, const event& input, effects& output);

/// Whether the plan of the current incarnation is in the store.
bool is_plan_written(const node_state& state);

/// Store keys of all plan shards.
std::vector<std::string> plan_shard_keys(const node_state& state);

/// Plans in the text of a plan shard; unreadable entries are left out.
std::vector<plan> plans_from_text(const std::string& text);

/// Whether this node holds unexpired grants from the required majorities of witnesses.
bool holds_lease(const node_state& state, time_point now);

/// Expiry of this node's lease by its own clock; a time in the past when it holds no lease.
time_point lease_end(const node_state& state);

/// Epoch under which this node may serve `slice` now. Empty while executions of the former owner
/// may still run, and while the slice is being handed off.
std::optional<epoch_number> serving_epoch(const node_state& state, const slice_id& slice,
                                          time_point now);

/// Whether this node accepts new work: it holds a lease, is not stopping, and neither its zone nor
/// its backend server is out of service.
bool accepts_new_work(const node_state& state, time_point now);

/// Whether the plan of the current incarnation is in the store. The node reads the configuration
/// from the store after that and before its first lease request.
bool is_plan_written(const node_state& state);

/// Join phase, lease, plan and owned slices for `status`.
json ownership_status(const node_state& state, time_point now);

} // namespace azureladder::core
