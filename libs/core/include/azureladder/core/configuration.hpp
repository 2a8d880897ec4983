#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/core/configuration_state.hpp>
#include <azureladder/core/effects.hpp>
#include <azureladder/core/events.hpp>

/// Installs configuration revisions, propagates them to peers and decides when a change is
/// accepted.
namespace azureladder::core {

struct node_state;

/// Handles the events of the configuration module.
void step_configuration(node_state& state, time_point now, const event& input, effects& output);

/// Progress of one change for the operator: {"state", "revision", "acknowledged", "total",
/// "missing", "message"}; `state` is "writing", "spreading", "accepted", "rejected" or "unknown".
json change_progress(const node_state& state, const std::string& apply_id);

/// Requests the configuration document from `source`, which reported a newer revision.
void pull_newer_revision(node_state& state, const member_id& source, const endpoint& address,
                         revision_number revision, effects& output);

} // namespace azureladder::core
