#pragma once

#include <azureladder/core/node_state.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// Parts of the choice of witnesses and standbys.
namespace azureladder::core {

// plan_members.cpp

/// Plans of the other nodes that may become witnesses or standbys, in rank order.
std::vector<const plan*> usable_plans(const node_state& state, time_point now);

/// A witness that promised never to grant again is of no further use to this incarnation.
bool can_witness(const node_state& state, time_point now, const member_ref& member);

/// A standby should be able to serve the slices itself: same service, allowed by the records.
bool can_stand_by(const node_state& state, const plan& candidate);

std::set<std::string> zones_of(const node_state& state, const std::vector<member_ref>& members);

// member_balance.cpp

/// Number of nodes that send lease requests to a member, by the hash of the member: two members
/// with the same hash only appear busier, and comparing names costs several times as much.
struct holder_counts
{
    std::unordered_map<std::uint64_t, std::size_t> m_by_member;

    /// Holders above which a member is chosen only for its zone, and is left by the rest.
    std::size_t m_limit = 0;
};

std::size_t count_of(const holder_counts& counts, const member_ref& member);

/// Counts the plans of the other nodes and the own plan.
holder_counts count_holders(const node_state& state);

struct member_exchange
{
    member_ref m_from;
    member_ref m_to;
};

/// A change that takes this node from a member with too many holders. At most one at a time, and
/// only from a complete set, so that it never adds to a repair.
std::optional<member_exchange> find_exchange(const node_state& state, time_point now,
                                             const holder_counts& counts);

/// The members after the exchange, if there is one.
std::vector<member_ref> exchanged(std::vector<member_ref> members,
                                  const std::optional<member_exchange>& exchange);

} // namespace azureladder::core
