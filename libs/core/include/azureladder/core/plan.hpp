#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace azureladder::core {

/// Number of a plan of one incarnation. Zero means "no plan".
using plan_version = std::uint64_t;

/// A slice that a plan covers, with the epoch under which the plan's node owns it.
struct owned_slice
{
    slice_id m_slice;
    epoch_number m_epoch = 0;
};

/// Versioned record of one incarnation of a node. The node writes it by compare-and-swap; it
/// names the witnesses that grant the node's lease and the standbys that take over its slices.
struct plan
{
    member_ref m_member;

    /// Orders the incarnations of one node: one more than the highest in the store at the join.
    std::uint64_t m_generation = 0;
    plan_version m_version = 0;
    std::string m_zone;
    endpoint m_http_address;
    endpoint m_peer_address;

    /// Service and name of the backend server beside the node; empty until it announces itself.
    std::string m_service;
    std::string m_server;

    /// Whether the backend server checks fencing tokens. A node that takes over slices of one that
    /// does not waits until the last execution there has ended.
    bool m_checks_fencing = false;

    std::vector<member_ref> m_witnesses;

    /// Witnesses of the version before a change of the witness set. A lease and a takeover then
    /// need a majority of both sets.
    std::vector<member_ref> m_previous_witnesses;

    std::vector<member_ref> m_standbys;

    /// Standbys of the version before. While this version is not active they may still take over.
    std::vector<member_ref> m_previous_standbys;
    std::vector<owned_slice> m_slices;
};

/// Index in `m_standbys` of the standby that takes over `slice`. The plan must name a standby.
std::size_t standby_index(const plan& value, const slice_id& slice);

/// Whether `members` contains a majority of `set`. A majority of an empty set always holds.
bool is_majority(const std::vector<member_ref>& members, const std::vector<member_ref>& set);

} // namespace azureladder::core
