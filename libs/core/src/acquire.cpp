#include "ownership_internal.hpp"

#include <azureladder/base/hash.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

/// Delay between the turns of successive nodes in rendezvous order to acquire a slice without an
/// owner.
constexpr duration acquire_turn_interval = seconds(2);

/// Longest interval between two scans for slices without an owner when no input has changed. A scan
/// over 16,384 slices takes about 10 ms.
constexpr duration full_scan_interval = seconds(10);

/// Time since which this node finds the slice without an owner. The wait that follows needs another
/// scan, although only the time changes.
time_point unowned_since(node_state& state, time_point now, const slice_id& slice)
{
    state.m_ownership.m_acquire_pending = true;
    return state.m_ownership.m_unowned_since.emplace(slice, now).first->second;
}

/// Whether it is this node's turn to write an entry without an owner. The desired owner is first;
/// the others follow in rendezvous order, so that the loss of a node does not block the slice.
bool is_own_turn(node_state& state, time_point now, const slice_id& slice,
                 const std::vector<node_id>& eligible)
{
    const auto since = unowned_since(state, now, slice);
    const auto& desired = desired_owners(state, slice.m_space);
    const auto& node = state.m_identity.m_node;
    if (slice.m_index < desired.size() && desired[slice.m_index] == node)
        return true;
    const auto order = rendezvous_order(slice, eligible);
    const auto position = std::find(order.begin(), order.end(), node);
    if (position == order.end())
        return false;
    return now >= since + acquire_turn_interval * (position - order.begin() + 1);
}

void propose_acquisition(node_state& state, const slice_id& slice, const slice_location& former)
{
    auto& own = state.m_ownership;
    slice_table_change change;
    change.m_expected_entry = former;
    const bool orphan = former.m_epoch != 0;
    // An unrecorded takeover may have used the next epoch, so the epoch of an orphaned slice
    // increases by two.
    change.m_epoch = former.m_epoch + (orphan ? 2 : 1);
    change.m_reason = orphan ? "orphan" : "acquired";
    change.m_claims_lost = orphan;
    change.m_owner_lost = orphan;
    own.m_slice_table_changes[slice] = change;
    own.m_unowned_since.erase(slice);
    // The write may fail without a change of the scan's inputs.
    own.m_acquire_pending = true;
}

/// Whether the owner and all members that could grant it a lease or take over from it have been
/// superseded, as after a restart of all nodes. No member is left that could promise, and every
/// takeover that happened is in the slice table.
bool all_superseded(const node_state& state, const member_id& owner)
{
    const auto* last = find_plan(state.m_directory, owner);
    if (last == nullptr || !is_superseded(state, owner))
        return false;
    const auto standbys = all_successors(*last);
    for (const auto* members :
         {&last->m_witnesses, &last->m_previous_witnesses, &standbys, &last->m_previous_standbys}) {
        for (const auto& member : *members) {
            if (!is_superseded(state, member))
                return false;
        }
    }
    return true;
}

bool may_adopt_superseded(node_state& state, time_point now, const slice_id& slice,
                          const slice_location& location, const std::vector<node_id>& eligible)
{
    if (!all_superseded(state, location.m_owner)) {
        state.m_ownership.m_unowned_since.erase(slice);
        return false;
    }
    const auto since = unowned_since(state, now, slice);
    return now >= since + superseded_wait && is_own_turn(state, now, slice, eligible);
}

/// Whether the member that takes over from a fenced owner can no longer do so.
bool has_successor_ended(node_state& state, time_point now, const slice_id& slice,
                         const member_id& standby)
{
    if (fenced_plan(state, standby) != nullptr)
        return true;
    if (!is_superseded(state, standby))
        return false;
    // A superseded standby may have lost its witnesses, which then cannot promise.
    return now >= unowned_since(state, now, slice) + superseded_wait;
}

/// Whether this node may adopt a slice of a former incarnation of its own process. That incarnation
/// no longer serves, although its witnesses may be lost and unable to promise. A member that its
/// plans name for the slice may have taken the slice over.
bool may_adopt_abandoned(node_state& state, time_point now, const slice_id& slice,
                         const slice_location& location, const abandoned_incarnation& former)
{
    duration wait(0);
    for (const auto& member : possible_successors(former, slice, location.m_epoch)) {
        if (member == self(state))
            continue;
        if (!has_ended(state, member)) {
            state.m_ownership.m_unowned_since.erase(slice);
            return false;
        }
        // The process of a superseded incarnation may be suspended rather than ended.
        const auto gone = fenced_plan(state, member) == nullptr ? superseded_wait : duration(0);
        const auto executions =
            former_execution_wait(state, slice, find_plan(state.m_directory, member));
        wait = std::max({wait, gone, executions});
    }
    return now >= unowned_since(state, now, slice) + wait;
}

bool may_adopt(node_state& state, time_point now, const slice_id& slice,
               const slice_location& location, const std::vector<node_id>& eligible)
{
    // An entry of this incarnation for a slice that it does not hold results from a write whose
    // answer came too late.
    if (location.m_owner == self(state))
        return true;
    const auto* fenced = fenced_plan(state, location.m_owner);
    const auto& abandoned = state.m_ownership.m_abandoned;
    const auto former = abandoned.find(location.m_owner);
    if (fenced == nullptr && former != abandoned.end())
        return may_adopt_abandoned(state, now, slice, location, former->second);
    if (fenced == nullptr)
        return may_adopt_superseded(state, now, slice, location, eligible);
    // A lost owner can have passed on only slices in the promised plan version. No node can have
    // taken any other slice from it, and its standby may serve another service.
    const bool listed = lists_slice(*fenced, slice, location.m_epoch);
    const auto* standby = listed ? successor_of(*fenced, slice) : nullptr;
    if (standby == nullptr)
        return is_own_turn(state, now, slice, eligible);
    // A former incarnation of this process would have installed a location with the next epoch.
    if (*standby == self(state) || abandoned.count(*standby) != 0)
        return true;
    return has_successor_ended(state, now, slice, *standby) &&
           is_own_turn(state, now, slice, eligible);
}

void acquire_in_space(node_state& state, time_point now, const std::string& space)
{
    auto& own = state.m_ownership;
    // A node that may not own slices of the space still adopts those for which it is the standby:
    // no other node may adopt them. It then hands them off to an eligible node.
    const auto eligible = eligible_nodes(state, space);
    const auto count = slices_of_space(state, space);
    for (std::uint32_t index = 0; index < count; ++index) {
        const slice_id slice{space, index};
        if (own.m_slices.count(slice) != 0 || own.m_slice_table_changes.count(slice) != 0)
            continue;
        const auto location = find_location(state.m_directory, slice);
        if (!location) {
            if (is_own_turn(state, now, slice, eligible))
                propose_acquisition(state, slice, slice_location{});
        } else if (may_adopt(state, now, slice, *location, eligible)) {
            propose_acquisition(state, slice, *location);
        }
    }
}

void add_to_hash(std::uint64_t& hash, std::uint64_t value)
{
    hash = hash64({reinterpret_cast<const char*>(&value), sizeof(value)}, hash);
}

/// Hash of all inputs, apart from the time, that decide whether this node may acquire a slice:
/// owners and plans, records, own slices, and the promises with the plan versions to which they
/// refer.
std::uint64_t hash_acquire_inputs(const node_state& state, const std::string& service)
{
    const auto& own = state.m_ownership;
    auto hash = hash64(service, digest(state.m_directory));
    add_to_hash(hash, state.m_configuration.m_document.m_revision);
    add_to_hash(hash, state.m_incarnation);
    add_to_hash(hash, own.m_slices.size());
    for (const auto& [member, promises] : own.m_promises) {
        add_to_hash(hash, member.m_incarnation);
        for (const auto& [witness, version] : promises) {
            add_to_hash(hash, witness.m_incarnation);
            add_to_hash(hash, version);
        }
        const auto history = own.m_plan_history.find(member);
        if (history == own.m_plan_history.end())
            continue;
        for (const auto& known : history->second)
            add_to_hash(hash, known.first);
    }
    return hash;
}

/// Whether a scan over all slices can find one to acquire. After a scan that found none, and none
/// that becomes acquirable with time, only a change of its inputs can make one acquirable.
bool is_acquire_scan_due(node_state& state, time_point now, const std::string& service)
{
    auto& own = state.m_ownership;
    const auto inputs = hash_acquire_inputs(state, service);
    if (inputs == own.m_acquire_inputs_hash && !own.m_acquire_pending &&
        own.m_slice_table_changes.empty() && now < own.m_next_full_scan)
        return false;
    own.m_acquire_inputs_hash = inputs;
    own.m_acquire_pending = false;
    own.m_next_full_scan = now + full_scan_interval;
    return true;
}

} // namespace

void acquire_slices(node_state& state, time_point now, const std::string& service)
{
    if (!is_acquire_scan_due(state, now, service))
        return;
    for (const auto& space : spaces_of_node(state, service))
        acquire_in_space(state, now, space);
}

} // namespace azureladder::core
