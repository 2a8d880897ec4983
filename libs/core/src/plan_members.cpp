#include "plan_members.hpp"
#include "ownership_internal.hpp"

#include <azureladder/base/hash.hpp>
#include <azureladder/records/document.hpp>

#include <algorithm>
#include <set>
#include <tuple>

namespace azureladder::core {

namespace {

std::uint64_t candidate_rank(const node_state& state, const node_id& candidate)
{
    return hash64(candidate, hash64(state.m_identity.m_node));
}

std::string own_service(const node_state& state)
{
    if (state.m_backend)
        return state.m_backend->m_service;
    return state.m_ownership.m_plan.m_service;
}

std::vector<member_id> usable_witnesses(const node_state& state, time_point now,
                                        const std::vector<member_id>& current)
{
    std::vector<member_id> kept;
    for (const auto& member : current) {
        if (can_be_witness(state, now, member))
            kept.push_back(member);
    }
    return kept;
}

/// Fills `result` up to the size of `current`. A set must not shrink because its members are
/// unresponsive, or a partitioned node could end without witnesses and hold its lease alone.
void restore_set_size(std::vector<member_id>& result, const std::vector<member_id>& current)
{
    for (const auto& member : current) {
        if (result.size() < current.size() && !contains(result, member))
            result.push_back(member);
    }
}

/// Whether a witness in a zone without one is available. A member that was unresponsive counts only
/// after it has responded again, or a partitioned zone would be tried repeatedly.
bool has_candidate_in_other_zone(const node_state& state, time_point now,
                                 const std::set<std::string>& zones)
{
    const auto candidates = usable_plans(state, now);
    return std::any_of(candidates.begin(), candidates.end(), [&](const plan* candidate) {
        const auto& member = candidate->m_member;
        return zones.count(candidate->m_zone) == 0 && can_be_witness(state, now, member) &&
               state.m_ownership.m_avoid_until.count(member) == 0;
    });
}

/// Removes one witness that shares its zone when a candidate in another zone exists: the loss of a
/// zone with two of three witnesses ends the lease. The set is selected early, when the directory
/// may have few zones.
void drop_same_zone_witness(const node_state& state, time_point now,
                            std::vector<member_id>& witnesses)
{
    const auto zones = zones_of(state, witnesses);
    if (zones.size() == witnesses.size() || !has_candidate_in_other_zone(state, now, zones))
        return;
    for (auto found = witnesses.begin(); found != witnesses.end(); ++found) {
        std::vector<member_id> others(witnesses.begin(), found);
        others.insert(others.end(), found + 1, witnesses.end());
        if (zones_of(state, others).size() == zones.size()) {
            witnesses = others;
            return;
        }
    }
}

std::vector<member_id> choose_standbys(const node_state& state, time_point now,
                                       const holder_counts& counts,
                                       const std::vector<member_id>& current)
{
    struct ranked_plan
    {
        const plan* m_plan;
        bool m_able;
        std::tuple<bool, bool, bool, bool, bool> m_key;
    };
    const auto& own_zone = state.m_identity.m_zone;
    const auto& witnesses = state.m_ownership.m_plan.m_witnesses;
    // Order: able to serve, other zone, already selected, witness, few holders, rank. A standby
    // that is a witness needs no lease messages of its own. The stable sort keeps the rank order.
    std::vector<ranked_plan> order;
    for (const auto* value : usable_plans(state, now)) {
        const bool able = can_be_standby(state, *value);
        order.push_back(
            {value, able,
             std::make_tuple(!able, value->m_zone == own_zone, !contains(current, value->m_member),
                             !contains(witnesses, value->m_member),
                             holder_count(counts, value->m_member) >= counts.m_limit)});
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const ranked_plan& a, const ranked_plan& b) { return a.m_key < b.m_key; });
    std::vector<member_id> result;
    const auto count = state.m_options.m_standby_count;
    const bool any_able = !order.empty() && order.front().m_able;
    for (const bool new_zone_only : {true, false}) {
        for (const auto& entry : order) {
            if (result.size() >= count)
                break;
            const auto& value = *entry.m_plan;
            const bool able = !any_able || entry.m_able;
            const bool fits = !new_zone_only || zones_of(state, result).count(value.m_zone) == 0;
            if (able && fits && !contains(result, value.m_member))
                result.push_back(value.m_member);
        }
    }
    // The order decides which standby takes over a slice, so an unchanged set keeps its order.
    if (result.size() == current.size() &&
        std::is_permutation(result.begin(), result.end(), current.begin()))
        return current;
    return result;
}

std::vector<member_id> choose_witnesses(const node_state& state, time_point now,
                                        const holder_counts& counts,
                                        const std::vector<member_id>& current,
                                        const std::vector<member_id>& standbys)
{
    auto result = usable_witnesses(state, now, current);
    const auto count = state.m_options.m_witness_count;
    if (result.size() >= count)
        drop_same_zone_witness(state, now, result);
    if (result.size() >= count)
        return result;
    // Standbys come first: a standby that is a witness needs one message less for a takeover, and
    // its grants show that it is reachable.
    std::vector<member_id> order = standbys;
    auto candidates = usable_plans(state, now);
    std::stable_partition(candidates.begin(), candidates.end(), [&](const plan* candidate) {
        return holder_count(counts, candidate->m_member) < counts.m_limit;
    });
    for (const auto* candidate : candidates) {
        if (!contains(order, candidate->m_member))
            order.push_back(candidate->m_member);
    }
    for (const bool new_zone_only : {true, false}) {
        for (const auto& member : order) {
            const auto* known = find_plan(state.m_directory, member);
            const bool fits = !new_zone_only || zones_of(state, result).count(known->m_zone) == 0;
            const bool able = can_be_witness(state, now, member);
            if (result.size() < count && able && fits && !contains(result, member))
                result.push_back(member);
        }
    }
    // With two witnesses, both would be needed. With the node itself as the third, the loss of any
    // single node leaves a majority. The node's own grant never expires and it never promises to
    // itself.
    if (result.size() == 2 && count > result.size())
        result.push_back(self(state));
    restore_set_size(result, current);
    return result;
}

} // namespace

std::vector<const plan*> usable_plans(const node_state& state, time_point now)
{
    // Ranks are computed once for each plan, not for each comparison.
    std::vector<std::pair<std::uint64_t, const plan*>> ranked;
    for (const auto* candidate : newest_plans(state.m_directory)) {
        if (is_usable_member(state, now, candidate->m_member))
            ranked.emplace_back(candidate_rank(state, candidate->m_member.m_node), candidate);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<const plan*> result;
    result.reserve(ranked.size());
    for (const auto& entry : ranked)
        result.push_back(entry.second);
    return result;
}

bool can_be_witness(const node_state& state, time_point now, const member_id& member)
{
    return is_usable_member(state, now, member) && state.m_ownership.m_fenced_by.count(member) == 0;
}

bool can_be_standby(const node_state& state, const plan& candidate)
{
    const auto service = own_service(state);
    if (service.empty() || spaces_of_node(state, service).size() <= 1)
        return true;
    if (candidate.m_service != service)
        return false;
    const auto spaces = spaces_of_node(state, service);
    return std::all_of(spaces.begin(), spaces.end(), [&](const std::string& space) {
        return space == claim_space ||
               records::is_eligible_owner(state.m_configuration.m_document, space,
                                          candidate.m_service, candidate.m_server,
                                          candidate.m_zone);
    });
}

std::set<std::string> zones_of(const node_state& state, const std::vector<member_id>& members)
{
    std::set<std::string> zones;
    for (const auto& member : members) {
        if (const auto* known = find_plan(state.m_directory, member))
            zones.insert(known->m_zone);
    }
    return zones;
}

bool is_usable_member(const node_state& state, time_point now, const member_id& member)
{
    if (member.m_node == state.m_identity.m_node)
        return false;
    const auto& own = state.m_ownership;
    const auto* newest = find_newest_plan(state.m_directory, member.m_node);
    if (newest == nullptr || newest->m_member != member)
        return false;
    const auto avoided = own.m_avoid_until.find(member);
    if (avoided != own.m_avoid_until.end() && now < avoided->second)
        return false;
    if (fenced_plan(state, member) != nullptr)
        return false;
    const auto& document = state.m_configuration.m_document;
    return records::zone_in_service(document, newest->m_zone) &&
           records::server_in_service(document, newest->m_server);
}

std::optional<member_id> find_usable_member(const node_state& state, time_point now,
                                            const node_id& node)
{
    const auto* newest = find_newest_plan(state.m_directory, node);
    if (newest == nullptr || !is_usable_member(state, now, newest->m_member))
        return std::nullopt;
    return newest->m_member;
}

member_choice choose_members(const node_state& state, time_point now, const member_choice& current)
{
    const auto counts = count_holders(state);
    const auto exchange = find_member_exchange(state, now, counts);
    member_choice next;
    next.m_standbys =
        choose_standbys(state, now, counts, apply_exchange(current.m_standbys, exchange));
    next.m_witnesses = choose_witnesses(
        state, now, counts, apply_exchange(current.m_witnesses, exchange), next.m_standbys);
    return next;
}

bool is_reachable(const node_state& state, time_point now, const member_id& member)
{
    const auto& heard = state.m_ownership.m_last_response;
    const auto found = heard.find(member);
    return found != heard.end() && now < found->second + state.m_options.m_lease_duration;
}

void avoid_unresponsive_members(node_state& state, time_point now)
{
    auto& own = state.m_ownership;
    for (const auto& [member, asked] : own.m_first_request) {
        const auto heard = own.m_last_response.find(member);
        const auto latest =
            heard == own.m_last_response.end() ? asked : std::max(asked, heard->second);
        if (now >= latest + state.m_options.m_member_loss_timeout)
            own.m_avoid_until[member] = now + state.m_options.m_member_avoid_duration;
    }
}

} // namespace azureladder::core
