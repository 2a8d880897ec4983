#pragma once

#include <azureladder/core/effects.hpp>
#include <azureladder/core/events.hpp>
#include <azureladder/core/node_state.hpp>

namespace azureladder::core {

/// Initial state of a node. `seed` determines its incarnation and all later random choices.
node_state make_node_state(const node_identity& identity, const core_options& options,
                           std::uint64_t seed);

/// Handles one event at monotonic time `now`, which must not decrease between calls. Contains no
/// I/O, clock or thread; the runtime executes the returned effects.
effects step(node_state& state, time_point now, const event& input);

/// Time of the next `timer_tick`: after the tick interval while any operation is in progress;
/// otherwise when the next lease round is due, a granted or held lease expires, a promise has to be
/// sent again, or the idle interval has passed.
time_point next_tick(const node_state& state, time_point now);

} // namespace azureladder::core
