#include "ownership_internal.hpp"

#include <azureladder/base/hash.hpp>
#include <azureladder/core/ownership.hpp>

#include <algorithm>
#include <map>

namespace azureladder::core {

namespace {

constexpr duration min_pull_interval = seconds(1);

/// Bytes available for slices in an owner notice: a datagram holds 1,200 bytes, of which envelope,
/// owner and field names need less than 400.
constexpr std::size_t max_notice_slice_bytes = 800;

/// Encoded size of a slice without the name of its space: field names, index and epoch.
constexpr std::size_t encoded_slice_bytes = 48;

bool owns_any_slice(const directory_state& directory, const member_id& member)
{
    return std::any_of(directory.m_locations.begin(), directory.m_locations.end(),
                       [&](const auto& entry) { return entry.second.m_owner == member; });
}

/// Whether a slice may still have to be taken over from this plan of a former incarnation.
bool is_plan_needed(const directory_state& directory, const plan& value)
{
    for (const auto& owned : value.m_slices) {
        const auto location = find_location(directory, owned.m_slice);
        if (!location || location->m_epoch <= owned.m_epoch)
            return true;
    }
    return owns_any_slice(directory, value.m_member);
}

bool is_former_incarnation(const directory_state& directory, const plan& value)
{
    const auto* newest = find_newest_plan(directory, value.m_member.m_node);
    return newest != nullptr && newest->m_generation > value.m_generation;
}

void add_to_plan_history(ownership_state& own, const plan& value)
{
    auto& versions = own.m_plan_history[value.m_member];
    versions.emplace(value.m_version, value);
    while (versions.size() > ownership_state::max_plan_history)
        versions.erase(versions.begin());
}

void send_directory_pull(node_state& state, time_point now, const member_id& from,
                         const endpoint& address, directory_pull pull, effects& output)
{
    auto& next = state.m_ownership.m_next_pull[from];
    // Without an address, the next message that carries one triggers the pull.
    if (now < next || address.m_host.empty())
        return;
    next = now + min_pull_interval;
    output.push_back(send_message{from, address, std::move(pull)});
}

/// Entries in the buckets whose digest differs from the digest in the pull.
directory_push differing_entries(const directory_state& directory, const directory_pull& pull)
{
    const auto differs = [&](std::size_t bucket) {
        return pull.m_bucket_digests[bucket] != directory.m_bucket_digests[bucket];
    };
    directory_push push;
    for (const auto& [member, value] : directory.m_plans) {
        if (differs(bucket_of(member)))
            push.m_plans.push_back(value);
    }
    for (const auto& [slice, location] : directory.m_locations) {
        if (differs(bucket_of(slice)))
            push.m_locations.push_back({{slice, location.m_epoch}, location.m_owner});
    }
    return push;
}

} // namespace

void merge_plan(node_state& state, const plan& value)
{
    auto& own = state.m_ownership;
    if (value.m_member == self(state)) {
        own.m_stored_version = std::max(own.m_stored_version, value.m_version);
        return;
    }
    if (is_former_incarnation(state.m_directory, value) &&
        !is_plan_needed(state.m_directory, value))
        return;
    install_plan(state.m_directory, value);
    add_to_plan_history(own, value);
}

void merge_own_plan(node_state& state)
{
    install_plan(state.m_directory, state.m_ownership.m_plan);
    add_to_plan_history(state.m_ownership, state.m_ownership.m_plan);
}

void remove_obsolete_plans(node_state& state)
{
    std::vector<member_id> obsolete;
    for (const auto& [member, value] : state.m_directory.m_plans) {
        if (is_former_incarnation(state.m_directory, value) &&
            !is_plan_needed(state.m_directory, value))
            obsolete.push_back(member);
    }
    for (const auto& member : obsolete) {
        remove_plan(state.m_directory, member);
        state.m_ownership.m_plan_history.erase(member);
    }
}

void merge_location(node_state& state, const slice_id& slice, const slice_location& location,
                    effects& output)
{
    if (!install_location(state.m_directory, slice, location))
        return;
    // The owner's plan may have been ignored as the plan of a former incarnation that was not
    // needed. Removing the polled version makes the next poll read it again.
    const bool planned = find_plan(state.m_directory, location.m_owner) != nullptr;
    if (!planned && state.m_ownership.m_plan_shards != 0)
        state.m_ownership.m_polled_versions.erase(plan_key(state, location.m_owner.m_node));
    const auto held = state.m_ownership.m_slices.find(slice);
    if (held == state.m_ownership.m_slices.end() || location.m_owner == self(state))
        return;
    if (location.m_epoch <= held->second.m_epoch)
        return;
    const bool released = held->second.m_phase == slice_phase::releasing;
    if (released) {
        auto fields = slice_fields(slice, held->second.m_epoch, held->second.m_handoff_reason);
        fields["to"] = member_text(location.m_owner);
        log_event(output, log_level::info, "released", std::move(fields));
        // A higher epoch shows that the receiver recorded the slice and passed it on.
        if (location.m_epoch == held->second.m_epoch + 1)
            state.m_ownership.m_released[slice] = {held->second.m_epoch, location.m_owner};
    }
    drop_slice(state, slice, released ? "released" : "superseded", output);
}

void pull_if_digest_differs(node_state& state, time_point now, const message_received& received,
                            std::uint64_t other, effects& output)
{
    if (other == digest(state.m_directory))
        return;
    const auto& digests = state.m_directory.m_bucket_digests;
    directory_pull pull;
    pull.m_bucket_digests.assign(digests.begin(), digests.end());
    const auto address = sender_address(state, received);
    send_directory_pull(state, now, received.m_from, address, std::move(pull), output);
}

endpoint sender_address(const node_state& state, const message_received& received)
{
    if (!received.m_reply_to.m_host.empty())
        return received.m_reply_to;
    const auto* known = find_plan(state.m_directory, received.m_from);
    return known == nullptr ? endpoint() : known->m_peer_address;
}

void pull_directory(node_state& state, time_point now, const member_id& from,
                    const endpoint& address, effects& output)
{
    send_directory_pull(state, now, from, address, directory_pull{}, output);
}

void handle_directory_pull(const node_state& state, const message_received& received,
                           const directory_pull& pull, effects& output)
{
    if (pull.m_bucket_digests.size() == directory_bucket_count) {
        output.push_back(send_message{received.m_from, received.m_reply_to,
                                      differing_entries(state.m_directory, pull)});
        return;
    }
    directory_push push;
    std::map<std::pair<member_id, plan_version>, const plan*> plans;
    for (const auto& [member, value] : state.m_directory.m_plans)
        plans[{member, value.m_version}] = &value;
    // A standby may need the exact version in the promises, which is not always the newest.
    for (const auto& [member, versions] : state.m_ownership.m_plan_history) {
        if (state.m_ownership.m_granted_leases.count(member) == 0 && member != self(state))
            continue;
        for (const auto& [version, value] : versions)
            plans[{member, version}] = &value;
    }
    for (const auto& [key, value] : plans)
        push.m_plans.push_back(*value);
    for (const auto& [slice, location] : state.m_directory.m_locations)
        push.m_locations.push_back({{slice, location.m_epoch}, location.m_owner});
    output.push_back(send_message{received.m_from, received.m_reply_to, std::move(push)});
}

void handle_directory_push(node_state& state, const directory_push& push, effects& output)
{
    // Locations are merged first, because they decide whether plans of former incarnations are
    // needed.
    for (const auto& [owned, owner] : push.m_locations)
        merge_location(state, owned.m_slice, {owner, owned.m_epoch}, output);
    for (const auto& value : push.m_plans)
        merge_plan(state, value);
}

void handle_owner_notice(node_state& state, const owner_notice& notice, effects& output)
{
    for (const auto& owned : notice.m_slices)
        merge_location(state, owned.m_slice, {notice.m_owner, owned.m_epoch}, output);
}

std::vector<owner_notice> make_owner_notices(const member_id& owner,
                                             const std::vector<owned_slice>& slices)
{
    std::vector<owner_notice> notices;
    std::size_t used = 0;
    for (const auto& owned : slices) {
        const auto bytes = encoded_slice_bytes + owned.m_slice.m_space.size();
        if (notices.empty() || used + bytes > max_notice_slice_bytes) {
            notices.push_back({owner, {}});
            used = 0;
        }
        notices.back().m_slices.push_back(owned);
        used += bytes;
    }
    return notices;
}

void send_owner_notices(const node_state& state, const std::vector<owned_slice>& slices,
                        effects& output)
{
    if (slices.empty())
        return;
    const auto notices = make_owner_notices(self(state), slices);
    for (const auto* other : newest_plans(state.m_directory)) {
        if (other->m_member.m_node == state.m_identity.m_node)
            continue;
        for (const auto& notice : notices)
            output.push_back(send_message{other->m_member, other->m_peer_address, notice});
    }
}

void send_newer_owners(const node_state& state, const message_received& received,
                       const std::vector<owned_slice>& slices, effects& output)
{
    // The notice names the new owners and epochs, which the acknowledgement does not contain.
    std::map<member_id, std::vector<owned_slice>> by_owner;
    for (const auto& owned : slices) {
        const auto location = find_location(state.m_directory, owned.m_slice);
        if (location && location->m_epoch > owned.m_epoch)
            by_owner[location->m_owner].push_back({owned.m_slice, location->m_epoch});
    }
    for (const auto& [owner, owned] : by_owner) {
        for (const auto& notice : make_owner_notices(owner, owned))
            output.push_back(send_message{received.m_from, received.m_reply_to, notice});
    }
}

void send_own_plan(const node_state& state, effects& output)
{
    const auto& own = state.m_ownership;
    std::vector<member_id> targets = own.m_plan.m_witnesses;
    const auto add = [&](const std::vector<member_id>& members) {
        for (const auto& member : members) {
            if (!contains(targets, member))
                targets.push_back(member);
        }
    };
    add(own.m_plan.m_previous_witnesses);
    add(all_successors(own.m_plan));
    add(all_successors(own.m_active_plan));
    for (const auto& member : targets) {
        if (member == self(state))
            continue;
        if (const auto* known = find_plan(state.m_directory, member)) {
            directory_push push;
            push.m_plans.push_back(own.m_plan);
            output.push_back(send_message{member, known->m_peer_address, std::move(push)});
        }
    }
}

std::vector<member_id> store_polling_members(const node_state& state)
{
    // With two pollers, the loss of one causes no delay, and the number of store calls does not
    // grow with the number of nodes.
    constexpr std::size_t pollers_per_zone = 2;
    std::map<std::string, std::vector<std::pair<std::uint64_t, member_id>>> zones;
    for (const auto* known : newest_plans(state.m_directory)) {
        if (fenced_plan(state, known->m_member) == nullptr)
            zones[known->m_zone].push_back({hash64(known->m_member.m_node), known->m_member});
    }
    std::vector<member_id> result;
    for (auto& [zone, ranked] : zones) {
        std::sort(ranked.begin(), ranked.end());
        for (std::size_t i = 0; i < ranked.size() && i < pollers_per_zone; ++i)
            result.push_back(ranked[i].second);
    }
    return result;
}

} // namespace azureladder::core
