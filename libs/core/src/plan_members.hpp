#pragma once

#include <azureladder/core/node_state.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// Selection of witnesses and standbys.
namespace azureladder::core {

// plan_members.cpp

/// Plans of the other nodes that may become witnesses or standbys, in rank order.
std::vector<const plan*> usable_plans(const node_state& state, time_point now);

/// Whether the member can grant leases to this incarnation: it is usable and has not refused a
/// request as fenced.
bool can_be_witness(const node_state& state, time_point now, const member_id& member);

/// Whether the candidate can serve this node's slices: it has the same service and the records
/// allow it.
bool can_be_standby(const node_state& state, const plan& candidate);

std::set<std::string> zones_of(const node_state& state, const std::vector<member_id>& members);

// member_balance.cpp

/// Number of nodes that send lease requests to each member, by hash of the member. Two members with
/// the same hash only appear busier; comparing names would cost several times as much.
struct holder_counts
{
    std::unordered_map<std::uint64_t, std::size_t> m_by_member;

    /// Number of holders above which a member is selected only for its zone, and its further
    /// holders leave it.
    std::size_t m_limit = 0;
};

std::size_t holder_count(const holder_counts& counts, const member_id& member);

/// Counts holders in the plans of all nodes, including the own plan.
holder_counts count_holders(const node_state& state);

struct member_exchange
{
    member_id m_from;
    member_id m_to;
};

/// Finds the replacement of a member that has too many holders. At most one member is replaced at a
/// time, and only in a complete set, so that balancing never adds to a repair.
std::optional<member_exchange> find_member_exchange(const node_state& state, time_point now,
                                                    const holder_counts& counts);

/// Applies the exchange, if there is one.
std::vector<member_id> apply_exchange(std::vector<member_id> members,
                                      const std::optional<member_exchange>& exchange);

} // namespace azureladder::core
