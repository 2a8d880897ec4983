#pragma once

#include <azureladder/core/node_state.hpp>

// Sets the state of the link-time replacement of the ownership module, which the tests of routing
// and claims use.
namespace azureladder::core::testing {

void reset_ownership();
void set_lease_end(const node_state& state, time_point end);
void set_serving(const node_state& state, const slice_id& slice, epoch_number epoch);
void stop_serving(const node_state& state, const slice_id& slice);

} // namespace azureladder::core::testing
