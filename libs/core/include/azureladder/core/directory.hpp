#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/core/plan.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// What a node knows of all nodes and of the owners of all slices. Copies of the store's plans and
/// slice tables, brought up to date by notices and pulls from peers.
namespace azureladder::core {

/// Parts into which the entries are hashed, so that two directories that differ in a few entries
/// exchange only the parts that differ.
inline constexpr std::size_t directory_bucket_count = 64;

/// Owner of a slice as far as this node knows.
struct slice_location
{
    member_ref m_owner;
    epoch_number m_epoch = 0;
};

struct directory_state
{
    /// Newest known version of the plan of each incarnation.
    std::map<member_ref, plan> m_plans;

    std::map<slice_id, slice_location> m_locations;

    /// Sums of the hashes of the entries in each bucket; kept up to date by the functions below, so
    /// that the digest of a large directory costs nothing for each lease message.
    std::array<std::uint64_t, directory_bucket_count> m_bucket_digests{};

    /// Sum over all buckets.
    std::uint64_t m_digest = 0;
};

/// Bucket of all plans of an incarnation, and bucket of a slice. Part of the protocol.
std::size_t bucket_of(const member_ref& member);
std::size_t bucket_of(const slice_id& slice);

/// Plan of exactly this incarnation, or null.
const plan* find_plan(const directory_state& state, const member_ref& member);

/// Plan of the newest known generation of a node, or null.
const plan* find_newest_plan(const directory_state& state, const node_id& node);

/// Plans of the newest generation of each node, ordered by node.
std::vector<const plan*> newest_plans(const directory_state& state);

std::optional<slice_location> locate(const directory_state& state, const slice_id& slice);

/// Installs a plan unless a newer version of the same incarnation is known. Returns whether the
/// directory changed.
bool install_plan(directory_state& state, const plan& value);

/// Installs an owner unless a location with the same or a higher epoch is known. Returns whether
/// the directory changed.
bool install_location(directory_state& state, const slice_id& slice, const slice_location& value);

/// Forgets the plan of an incarnation that no slice location names.
void remove_plan(directory_state& state, const member_ref& member);

/// Digest that differs, with very high probability, between directories with different content.
std::uint64_t digest(const directory_state& state);

} // namespace azureladder::core
