#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/core/claims_state.hpp>
#include <azureladder/core/effects.hpp>
#include <azureladder/core/events.hpp>

#include <string>
#include <vector>

/// Memory of non-idempotent requests, so that a repeat by the caller is not executed again.
namespace azureladder::core {

struct node_state;

/// Handles claim messages of other nodes and drops claims that are too old.
void step_claims(node_state& state, time_point now, const event& input, effects& output);

/// Claims of a slice for a release.
std::vector<claim> export_claims(const node_state& state, const slice_id& slice, time_point now);

/// Adds claims received with a release or a copy. A claim in progress becomes
/// `unknown`, because its outcome was known to the former owner only.
void import_claims(node_state& state, const std::vector<claim>& claims, time_point now);

/// States that claims of `slice` may have been lost: a new claim is answered `unknown` until the
/// retention has passed. Called when a slice is acquired without its former owner or standby.
void mark_claims_lost(node_state& state, const slice_id& slice, time_point now);

/// Whether the owner of this epoch has copied all claims of `slice` to this node.
bool has_claim_baseline(const node_state& state, const owned_slice& slice);

/// Copies the claims of this node's slices to their standbys, after the plan's standbys changed or
/// the node became the owner of `slices`.
void copy_claims_to_standbys(node_state& state, time_point now, const std::vector<slice_id>& slices,
                             effects& output);

/// Claim slice for an idempotency key of a service that is not divided by key.
slice_id claim_slice(const node_state& state, const std::string& service,
                     const std::string& idempotency_key);

/// Number of slices of `claim_space`.
inline constexpr std::uint32_t claim_slice_count = 64;

} // namespace azureladder::core
