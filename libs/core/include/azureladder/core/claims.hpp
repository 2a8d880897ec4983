#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/core/claims_state.hpp>
#include <azureladder/core/effects.hpp>
#include <azureladder/core/events.hpp>

#include <string>
#include <vector>

/// Idempotency keys of non-idempotent requests, stored so that a retry by the caller is not
/// executed again.
namespace azureladder::core {

struct node_state;

/// Handles claim messages of other nodes and expires claims.
void step_claims(node_state& state, time_point now, const event& input, effects& output);

/// Claims of a slice to send with its release.
std::vector<claim> export_claims(const node_state& state, const slice_id& slice, time_point now);

/// Adds claims received with a release or a copy. A claim in progress becomes `unknown`, because
/// only the former owner receives its outcome.
void import_claims(node_state& state, const std::vector<claim>& claims, time_point now);

/// Marks the claims of `slice` as incomplete: claims of keys that are not stored are answered
/// `unknown` until the retention has passed. Called when a slice is acquired without the claims of
/// its former owner or standby.
void mark_claims_incomplete(node_state& state, const slice_id& slice, time_point now);

/// Whether the owner of the slice in this epoch has copied all its claims to this node.
bool has_complete_claims(const node_state& state, const owned_slice& slice);

/// Copies the claims of `slices`, which this node owns, to their standbys. Called after the
/// standbys of the plan changed or the node became the owner of `slices`.
void copy_claims_to_standbys(node_state& state, time_point now, const std::vector<slice_id>& slices,
                             effects& output);

/// Slice that stores the claim of an idempotency key of a service that is not divided by key.
slice_id claim_slice(const node_state& state, const std::string& service,
                     const std::string& idempotency_key);

/// Number of slices of `claim_space`.
inline constexpr std::uint32_t claim_slice_count = 64;

} // namespace azureladder::core
