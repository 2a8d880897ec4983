#include "range_table_changes.hpp"

#include <azureladder/key_ranges/lease_rules.hpp>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

using key_ranges::range_state;
using key_ranges::range_table;

/// Time after which an owner writes a transfer itself that it has asked another one to write.
constexpr duration delegation_timeout = milliseconds(200);

key_ranges::range_owner self_owner(const node_state& state)
{
    return {state.m_options.m_node, local_owner_incarnation(state)};
}

/// Fencing tokens of the takeovers that are old enough for the leases of the previous owner to have
/// expired.
std::set<std::uint64_t> finished_takeovers(const step_context& context)
{
    const node_state& state = context.m_state;
    std::set<std::uint64_t> finished;
    for (const auto& [fence, takeover_started_at] : state.m_ownership.m_takeover_started_at) {
        if (context.m_now >=
            key_ranges::takeover_time(takeover_started_at, state.m_options.m_leases))
            finished.insert(fence);
    }
    return finished;
}

} // namespace

bool is_reachable(const node_state& state, const std::string& node, time_point now)
{
    if (node == state.m_options.m_node)
        return true;
    const auto peer = state.m_peers.find(node);
    return peer != state.m_peers.end() && is_usable(state, peer->second, now);
}

bool is_ready(const node_state& state, const range_transfer& transfer, time_point now)
{
    return transfer.m_released &&
           !key_ranges::may_be_granted_late(state.m_ownership.m_grants, transfer.m_from,
                                            transfer.m_to, now, state.m_options.m_leases);
}

released_keys release_of(const range_transfer& transfer)
{
    return {transfer.m_from, transfer.m_to, transfer.m_fencing_token, transfer.m_target,
            transfer.m_handover};
}

namespace {

/// Owners in `affected` whose delay for this member has passed. The delay grows with the position
/// of the member, so that the writes of several members do not conflict. Updates `affected_since`.
std::vector<std::string> owners_due(const step_context& context, const eligible_members& members,
                                    owner_times& affected_since,
                                    const std::set<std::string>& affected,
                                    const staggered_delay& delay)
{
    owner_times present;
    for (const auto& owner : affected) {
        const auto known = affected_since.find(owner);
        present[owner] = known == affected_since.end() ? context.m_now : known->second;
    }
    affected_since = std::move(present);
    const auto self = members.find(context.m_state.m_options.m_node);
    if (self == members.end())
        return {};
    const auto position = std::distance(members.begin(), self);
    std::vector<std::string> result;
    for (const auto& [owner, since] : affected_since) {
        if (context.m_now - since >= delay.m_first + delay.m_increment * position)
            result.push_back(owner);
    }
    return result;
}

/// Unreachable owners whose ranges this node has to take over now.
std::vector<std::string> owners_to_take_over(step_context& context, const eligible_members& members,
                                             const range_table& table)
{
    node_state& state = context.m_state;
    std::set<std::string> lost;
    const std::string* previous = nullptr;
    for (const auto& entry : table.m_entries) {
        if (previous != nullptr && *previous == entry.m_owner)
            continue;
        previous = &entry.m_owner;
        if (!is_reachable(state, entry.m_owner, context.m_now))
            lost.insert(entry.m_owner);
    }
    return owners_due(context, members, state.m_ownership.m_owner_unreachable_since, lost,
                      state.m_options.m_takeover_delay);
}

/// Other owners, with their current incarnations, for which this node has to write new fencing
/// tokens now, because the store refuses their own writes.
std::vector<key_ranges::range_owner>
owners_to_bind(step_context& context, const eligible_members& members, const range_table& table)
{
    node_state& state = context.m_state;
    std::set<std::string> unbound;
    for (const auto& entry : table.m_entries) {
        const auto owner = members.find(entry.m_owner);
        if (owner != members.end() && entry.m_owner != state.m_options.m_node &&
            entry.m_state == range_state::active && entry.m_server_incarnation != owner->second)
            unbound.insert(entry.m_owner);
    }
    std::vector<key_ranges::range_owner> result;
    for (const auto& node : owners_due(context, members, state.m_ownership.m_owner_unbound_since,
                                       unbound, state.m_options.m_bind_delay))
        result.push_back({node, members.at(node)});
    return result;
}

/// Transfers released keys of `owner` to their target, or to another member if that one is gone.
void apply_release(const eligible_members& members, const std::string& owner,
                   const released_keys& released, range_table& table)
{
    const auto* entry = key_ranges::find_range(table, released.m_from);
    if (entry == nullptr || entry->m_fencing_token != released.m_fencing_token ||
        entry->m_owner != owner || entry->m_state != range_state::active)
        return;
    auto target = members.find(released.m_target);
    if (target == members.end())
        target = std::find_if(members.begin(), members.end(),
                              [&](const auto& candidate) { return candidate.first != owner; });
    // Released keys return to their owner under a new fencing token when no other member is left.
    if (target == members.end())
        target = members.find(owner);
    if (target != members.end())
        key_ranges::transfer_keys(table, released.m_from, released.m_to,
                                  {target->first, target->second}, released.m_handover);
}

void apply_released_transfers(const node_state& state, time_point now,
                              const eligible_members& members, range_table& table)
{
    for (const auto& transfer : state.m_ownership.m_transfers) {
        if (is_ready(state, transfer, now))
            apply_release(members, state.m_options.m_node, release_of(transfer), table);
    }
    for (const auto& delegated : state.m_ownership.m_delegated_transfers)
        apply_release(members, delegated.m_origin, delegated.m_released, table);
}

/// Transfers the unfinished takeovers of this node to another member while this node must own no
/// ranges. They cannot be released like leased ranges, and other members do not take over ranges
/// from a reachable node.
void transfer_takeovers(const node_state& state, time_point now, const eligible_members& members,
                        range_table& table)
{
    if (must_release_all_ranges(state, now) && !members.empty() &&
        members.begin()->first != state.m_options.m_node)
        key_ranges::reassign_takeovers(table, state.m_options.m_node,
                                       {members.begin()->first, members.begin()->second});
}

} // namespace

range_table desired_table(step_context& context, const eligible_members& members,
                          const range_table& known)
{
    node_state& state = context.m_state;
    range_table table = known;
    apply_released_transfers(state, context.m_now, members, table);
    transfer_takeovers(state, context.m_now, members, table);
    const std::string incarnation = local_owner_incarnation(state);
    if (incarnation.empty() || !accepts_requests(state, context.m_now))
        return table;
    const auto self = self_owner(state);
    key_ranges::revert_takeovers(table, self);
    for (const auto& owner : owners_to_take_over(context, members, table))
        key_ranges::take_over_ranges(table, owner, self);
    key_ranges::finish_takeovers(table, self.m_node, finished_takeovers(context));
    key_ranges::bind_incarnation(table, self);
    if (may_confirm_ranges(state, context.m_now))
        key_ranges::confirm_ranges(table, self, state.m_store_era);
    for (const auto& owner : owners_to_bind(context, members, table))
        key_ranges::bind_incarnation(table, owner);
    return table;
}

bool has_transfer_to_write(const node_state& state, time_point now)
{
    const key_ownership& keys = state.m_ownership;
    return !keys.m_delegated_transfers.empty() ||
           std::any_of(keys.m_transfers.begin(), keys.m_transfers.end(),
                       [&](const range_transfer& transfer) {
                           return is_ready(state, transfer, now) &&
                                  now - transfer.m_delegated_at >= delegation_timeout;
                       });
}

bool may_need_change(const node_state& state, const eligible_members& members,
                     const received_table& table, time_point now)
{
    if (table.m_has_takeovers || has_transfer_to_write(state, now) ||
        (table.m_has_unconfirmed && may_confirm_ranges(state, now)))
        return true;
    return std::any_of(table.m_owners.begin(), table.m_owners.end(), [&](const auto& owner) {
        const auto& [node, incarnations] = owner;
        if (!is_reachable(state, node, now))
            return true;
        const auto member = members.find(node);
        return member != members.end() &&
               (incarnations.size() != 1 || *incarnations.begin() != member->second);
    });
}

} // namespace azureladder::sidecar
