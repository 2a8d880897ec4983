#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azureladder::core {

/// Number of a plan of one incarnation. Zero means "no plan".
using plan_version = std::uint64_t;

/// A slice in a plan, with the epoch under which the plan's node owns it.
struct owned_slice
{
    slice_id m_slice;
    epoch_number m_epoch = 0;
};

/// A slice that is being moved. Its receiver replaces the standby of the slice meanwhile.
struct planned_move
{
    slice_id m_slice;
    member_id m_receiver;
};

/// Versioned record of one incarnation of a node, which writes it by compare-and-swap. It names the
/// witnesses that grant the node's lease and the standbys that take over its slices.
struct plan
{
    member_id m_member;

    /// Orders the incarnations of a node: one more than the highest generation in the store at the
    /// join.
    std::uint64_t m_generation = 0;
    plan_version m_version = 0;
    std::string m_zone;
    endpoint m_http_address;
    endpoint m_peer_address;

    /// Service and name of the local backend server; empty until its first announcement.
    std::string m_service;
    std::string m_server;

    /// Whether the backend server checks fencing tokens. If it does not, a node that takes over its
    /// slices waits until its last execution has ended.
    bool m_checks_fencing = false;

    std::vector<member_id> m_witnesses;

    /// Witnesses before the change of the witness set. While it is not empty, a lease and a
    /// takeover need a majority of both sets.
    std::vector<member_id> m_previous_witnesses;

    std::vector<member_id> m_standbys;

    /// Standbys and move receivers of the previous version. They may take over until this version
    /// is active.
    std::vector<member_id> m_previous_standbys;
    std::vector<owned_slice> m_slices;
    std::vector<planned_move> m_moves;
};

/// Member that takes over `slice` when the plan's node is fenced or releases the slice: the
/// receiver of a planned move, otherwise one of the standbys. Null when the plan names none.
const member_id* successor_of(const plan& value, const slice_id& slice);

/// Whether the plan lists the slice at this epoch.
bool lists_slice(const plan& value, const slice_id& slice, epoch_number epoch);

/// All standbys and move receivers of the plan.
std::vector<member_id> all_successors(const plan& value);

bool contains(const std::vector<member_id>& members, const member_id& member);

/// Whether `members` contains a majority of `set`; true for an empty set.
bool is_majority(const std::vector<member_id>& members, const std::vector<member_id>& set);

} // namespace azureladder::core
