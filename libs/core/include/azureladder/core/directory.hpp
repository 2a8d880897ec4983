#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/core/plan.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Replica of the plans of all nodes and the owners of all slices. The store holds the original;
/// notices and pulls from peers update the replica.
namespace azureladder::core {

/// Number of buckets into which the entries are hashed. Two directories that differ in a few
/// entries exchange only the buckets that differ.
inline constexpr std::size_t directory_bucket_count = 64;

/// Latest owner of a slice in this node's directory.
struct slice_location
{
    member_id m_owner;
    epoch_number m_epoch = 0;
};

struct directory_state
{
    /// Newest received plan version of each incarnation.
    std::map<member_id, plan> m_plans;

    std::map<slice_id, slice_location> m_locations;

    /// Sum of the entry hashes of each bucket. The functions below update it incrementally, so that
    /// a lease message needs no pass over a large directory.
    std::array<std::uint64_t, directory_bucket_count> m_bucket_digests{};

    /// Sum over all buckets.
    std::uint64_t m_digest = 0;
};

/// Bucket of the plans of an incarnation, and of a slice. All nodes must compute the same buckets.
std::size_t bucket_of(const member_id& member);
std::size_t bucket_of(const slice_id& slice);

/// Plan of this incarnation, or null.
const plan* find_plan(const directory_state& state, const member_id& member);

/// Plan of the newest generation of a node, or null.
const plan* find_newest_plan(const directory_state& state, const node_id& node);

/// Plans of the newest generation of each node, ordered by node.
std::vector<const plan*> newest_plans(const directory_state& state);

std::optional<slice_location> find_location(const directory_state& state, const slice_id& slice);

/// Installs a plan unless the directory has the same or a newer version for this incarnation.
/// Returns whether the directory changed.
bool install_plan(directory_state& state, const plan& value);

/// Installs an owner unless the directory has a location with the same or a higher epoch. Returns
/// whether the directory changed.
bool install_location(directory_state& state, const slice_id& slice, const slice_location& value);

/// Removes the plan of an incarnation that owns no slice in the directory.
void remove_plan(directory_state& state, const member_id& member);

/// Digest of the content. Different content has the same digest only by a hash collision.
std::uint64_t digest(const directory_state& state);

} // namespace azureladder::core
