#pragma once

#include "step_context.hpp"

#include <map>
#include <string>

namespace azureladder::sidecar {

// Changes that a node has to make in the range table of its service.

/// Members that may own ranges: incarnations of their servers by node name.
using eligible_members = std::map<std::string, std::string>;

bool is_reachable(const node_state& state, const std::string& node, time_point now);

/// Whether the transfer may be written: the keys are released, and no grant of them can be carried
/// out any more.
bool is_ready(const node_state& state, const range_transfer& transfer, time_point now);

released_keys release_of(const range_transfer& transfer);

/// The known table with all changes that this node has to make now.
key_ranges::range_table desired_table(step_context& context, const eligible_members& members,
                                      const key_ranges::range_table& known);

/// Whether this node has to write a transfer: one that another owner has asked it to write, or one
/// of its own that the confirming owner has not written in time.
bool has_transfer_to_write(const node_state& state, time_point now);

/// Whether this node may have to change the table: a change of its own is due, or some owner is
/// unreachable, has no tokens for its incarnation or is being replaced.
bool may_need_change(const node_state& state, const eligible_members& members,
                     const received_table& table, time_point now);

} // namespace azureladder::sidecar
