#pragma once

#include <azureladder/core/node_state.hpp>

// Link-time stand-in for the ownership module. Only the functions below depend on it: when the real
// module is merged, they set `ownership_state` instead.
namespace azureladder::core::testing {

void reset_ownership();
void set_lease_end(const node_state& state, time_point end);
void set_serving(const node_state& state, const slice_id& slice, epoch_number epoch);
void stop_serving(const node_state& state, const slice_id& slice);

} // namespace azureladder::core::testing
