#pragma once

#include <azureladder/core/events.hpp>
#include <azureladder/core/node_state.hpp>

namespace azureladder::core {

/// Records the version in a poll answer. Must be called before the value is merged into the
/// directory.
void record_polled_version(node_state& state, const store_finished& answer);

} // namespace azureladder::core
