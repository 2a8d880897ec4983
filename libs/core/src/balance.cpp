#include "ownership_internal.hpp"

#include <azureladder/core/claims.hpp>
#include <azureladder/core/ownership.hpp>

#include <algorithm>
#include <set>

namespace azureladder::core {

namespace {

/// Largest number of claim slices that a node moves in each balance interval. It is higher than for
/// slices of a service, because claim slices add no load to the receiver's backend server.
constexpr std::size_t claim_moves_per_interval = 8;

bool has_pending_move(const ownership_state& own)
{
    return std::any_of(own.m_slices.begin(), own.m_slices.end(), [](const auto& entry) {
        return entry.second.m_phase != slice_phase::serving;
    });
}

/// Whether this node is the first, by name, of the nodes that own slices assigned to `receiver`.
/// Moves from one node at a time keep the slices that a returning node gains in an interval within
/// the limit.
bool is_first_sender(node_state& state, const std::vector<std::string>& spaces,
                     const node_id& receiver)
{
    for (const auto& space : spaces) {
        const auto& desired = desired_owners(state, space);
        for (std::uint32_t index = 0; index < desired.size(); ++index) {
            const auto location = find_location(state.m_directory, {space, index});
            if (desired[index] != receiver || !location || location->m_owner.m_node == receiver)
                continue;
            if (location->m_owner.m_node < state.m_identity.m_node &&
                fenced_plan(state, location->m_owner) == nullptr)
                return false;
        }
    }
    return true;
}

/// Receiver of a slice whose desired owner is another node, if the slice can be moved now.
std::optional<member_id> balance_receiver(node_state& state, time_point now, const slice_id& slice,
                                          const held_slice& held)
{
    const auto& desired = desired_owners(state, slice.m_space);
    if (slice.m_index >= desired.size() || !held.m_recorded || !held.m_start_logged)
        return std::nullopt;
    const auto& node = desired[slice.m_index];
    if (node.empty() || node == state.m_identity.m_node)
        return std::nullopt;
    return find_usable_member(state, now, node);
}

void move_slices(node_state& state, time_point now, const std::vector<std::string>& spaces)
{
    auto& own = state.m_ownership;
    if (!is_plan_settled(state) || has_pending_move(own))
        return;
    std::size_t moves = 0;
    std::size_t claim_moves = 0;
    std::set<node_id> refused;
    for (auto& [slice, held] : own.m_slices) {
        const bool is_claim_slice = slice.m_space == claim_space;
        auto& moves_used = is_claim_slice ? claim_moves : moves;
        if (moves_used >=
            (is_claim_slice ? claim_moves_per_interval : state.m_options.m_max_moves_per_interval))
            continue;
        const auto receiver = balance_receiver(state, now, slice, held);
        if (!receiver || refused.count(receiver->m_node) != 0)
            continue;
        if (!is_first_sender(state, spaces, receiver->m_node)) {
            refused.insert(receiver->m_node);
            continue;
        }
        start_balance_move(held, now, *receiver);
        ++moves_used;
    }
}

} // namespace

void step_balance(node_state& state, time_point now)
{
    auto& own = state.m_ownership;
    if (now < own.m_next_balance || !holds_lease(state, now) || !accepts_new_work(state, now))
        return;
    own.m_next_balance = now + state.m_options.m_balance_interval;
    ++own.m_balance_round;
    if (own.m_store_down || is_backend_leaving(state, now))
        return;
    const auto service = state.m_backend ? state.m_backend->m_service : std::string();
    acquire_slices(state, now, service);
    move_slices(state, now, spaces_of_node(state, service));
}

} // namespace azureladder::core
