#pragma once

#include <azureladder/core/events.hpp>
#include <azureladder/core/node_state.hpp>

namespace azureladder::core {

/// Remembers the version that a poll is answered with. Called before the value is learnt.
void note_polled_version(node_state& state, const store_finished& answer);

} // namespace azureladder::core
