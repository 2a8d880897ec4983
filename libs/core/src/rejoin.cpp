#include "ownership_internal.hpp"

#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

#include <algorithm>
#include <iterator>

namespace azureladder::core {

namespace {

/// Time given to the holders of this witness's grants to replace it. That takes them two plan
/// versions, the first of which they propose within half a second.
constexpr duration witness_replacement_wait = seconds(3);

/// Whether the members for which `excluded` does not hold are a majority of the set.
template <class Predicate>
bool majority_without(const std::vector<member_id>& set, Predicate excluded)
{
    std::vector<member_id> remaining;
    std::remove_copy_if(set.begin(), set.end(), std::back_inserter(remaining), excluded);
    return is_majority(remaining, set);
}

/// Replaces the witnesses selected at the join when their processes have been superseded. They
/// granted no lease and, after the longest pause, cannot grant one, so their version can never be
/// promised. A rejoin would instead invalidate this node's grants to its holders.
void replace_initial_witnesses(node_state& state, time_point now)
{
    auto& own = state.m_ownership;
    const auto wait = state.m_options.m_max_tick_gap + state.m_options.m_lease_duration;
    if (now < own.m_last_lease_time + wait || own.m_proposed_plan || !own.m_slices.empty())
        return;
    own.m_proposed_plan = next_plan(state, now);
    own.m_last_lease_time = now;
}

/// Whether the plan has lost so many witnesses that its node must rejoin.
bool must_rejoin(const node_state& state, const plan& value)
{
    const auto gone = [&](const member_id& witness) { return has_ended(state, witness); };
    return !majority_without(value.m_witnesses, gone) ||
           !majority_without(value.m_previous_witnesses, gone);
}

/// Whether the plan's node keeps its lease when this witness and all others that have ended or are
/// about to end stop granting.
bool keeps_lease_without(const node_state& state, const plan& value)
{
    const auto ends = [&](const member_id& witness) {
        const auto* known = find_plan(state.m_directory, witness);
        return witness == self(state) || has_ended(state, witness) ||
               (known != nullptr && must_rejoin(state, *known));
    };
    return majority_without(value.m_witnesses, ends) &&
           majority_without(value.m_previous_witnesses, ends);
}

/// Whether a node that holds its lease would lose it if this witness ended now. Otherwise nodes
/// that lose their witnesses together would cause more and more other nodes to lose theirs.
bool is_needed_as_witness(const node_state& state, time_point now)
{
    for (const auto& [member, granted] : state.m_ownership.m_granted_leases) {
        const auto* holder = find_plan(state.m_directory, member);
        const bool asks = !granted.m_promised && now < granted.m_expires;
        if (!asks || holder == nullptr || has_ended(state, member) || must_rejoin(state, *holder))
            continue;
        const bool named = contains(holder->m_witnesses, self(state)) ||
                           contains(holder->m_previous_witnesses, self(state));
        if (named && !keeps_lease_without(state, *holder))
            return true;
    }
    return false;
}

/// Whether neither a release nor a takeover can transfer the slice to another node.
bool lacks_successor(const node_state& state, const slice_id& slice, const held_slice& held)
{
    const auto& own = state.m_ownership;
    const auto members = possible_successors({own.m_active_plan, own.m_plan}, slice, held.m_epoch);
    return in_flight_request_count(state, slice) == 0 &&
           std::all_of(members.begin(), members.end(),
                       [&](const member_id& member) { return has_ended(state, member); });
}

bool all_lack_successor(const node_state& state)
{
    const auto& slices = state.m_ownership.m_slices;
    return std::all_of(slices.begin(), slices.end(), [&](const auto& entry) {
        return lacks_successor(state, entry.first, entry.second);
    });
}

} // namespace

std::vector<member_id> possible_successors(const abandoned_incarnation& former,
                                           const slice_id& slice, epoch_number epoch)
{
    std::vector<member_id> result;
    for (const auto* value : {&former.m_active_plan, &former.m_newest}) {
        const auto* member =
            lists_slice(*value, slice, epoch) ? successor_of(*value, slice) : nullptr;
        if (member != nullptr && !contains(result, *member))
            result.push_back(*member);
    }
    return result;
}

bool is_superseded(const node_state& state, const member_id& member)
{
    const auto* newest = find_newest_plan(state.m_directory, member.m_node);
    return newest != nullptr && newest->m_member != member;
}

bool has_ended(const node_state& state, const member_id& member)
{
    return is_superseded(state, member) || fenced_plan(state, member) != nullptr;
}

bool may_propose_plan(const node_state& state, time_point now)
{
    const auto& own = state.m_ownership;
    // The promises for a lost witness arrive no earlier than a lease duration less one interval
    // after its last grant, so they cannot trigger a version that needs that witness to become
    // active.
    return own.m_active_plan.m_version == 0 ||
           lease_end(state) >= now + state.m_options.m_lease_duration / 2;
}

bool has_lost_witnesses(const node_state& state, time_point now)
{
    const auto& own = state.m_ownership;
    return own.m_phase == join_phase::joined && own.m_active_plan.m_version != 0 &&
           !holds_lease(state, now) &&
           now >= own.m_last_lease_time + state.m_options.m_member_loss_timeout;
}

void step_rejoin(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    if (own.m_phase != join_phase::joined || state.m_stopping)
        return;
    const auto& options = state.m_options;
    if (own.m_active_plan.m_version == 0) {
        const auto replaced = [&](const member_id& witness) {
            return is_superseded(state, witness);
        };
        if (!majority_without(own.m_plan.m_witnesses, replaced)) {
            replace_initial_witnesses(state, now);
            return;
        }
        // The node never held a lease, so it served nothing. The witnesses selected at the join are
        // lost.
        const auto unusable = [&](const member_id& witness) {
            return witness != self(state) && !is_usable_member(state, now, witness);
        };
        const auto limit = majority_without(own.m_plan.m_witnesses, unusable)
                               ? 2 * options.m_member_loss_timeout
                               : options.m_member_loss_timeout / 2;
        // The jitter prevents two nodes that name each other's former incarnations from rejoining
        // in lockstep.
        if (now >= own.m_last_lease_time + limit + own.m_rejoin_jitter)
            begin_join(state, now, true, output);
        return;
    }
    if (!has_lost_witnesses(state, now))
        return;
    const bool expired = now >= own.m_last_lease_time + options.m_release_timeout;
    const bool replaced =
        !is_needed_as_witness(state, now) ||
        now >= own.m_last_lease_time + options.m_member_loss_timeout + witness_replacement_wait;
    if ((all_lack_successor(state) && replaced) || expired)
        begin_join(state, now, true, output);
}

} // namespace azureladder::core
