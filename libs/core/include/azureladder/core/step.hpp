#pragma once

#include <azureladder/core/effects.hpp>
#include <azureladder/core/events.hpp>
#include <azureladder/core/node_state.hpp>

namespace azureladder::core {

/// State of a node that has just started. `seed` makes its incarnation and choices repeatable.
node_state make_node_state(const node_identity& identity, const core_options& options,
                           std::uint64_t seed);

/// Handles one event at monotonic time `now`, which must not be earlier than at the last call.
/// Contains no I/O, clock or thread; the returned effects are executed by the runtime.
effects step(node_state& state, time_point now, const event& input);

/// Time of the next `timer_tick`. Soon while anything is in progress; otherwise when the next lease
/// round is due, a lease that was granted or is held ends, or the idle interval has passed.
time_point next_tick(const node_state& state, time_point now);

} // namespace azureladder::core
