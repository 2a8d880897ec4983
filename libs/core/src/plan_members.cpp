#include "ownership_internal.hpp"

#include <azureladder/base/hash.hpp>
#include <azureladder/records/document.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace azureladder::core {

namespace {

std::uint64_t rank_for(const node_state& state, const node_id& candidate)
{
    return hash64(candidate, hash64(state.m_identity.m_node));
}

std::string own_service(const node_state& state)
{
    if (state.m_backend)
        return state.m_backend->m_service;
    return state.m_ownership.m_plan.m_service;
}

/// Plans of the other nodes that may become witnesses or standbys, in rank order.
std::vector<const plan*> usable_plans(const node_state& state, time_point now)
{
    // Ranks are computed once for each plan, not for each comparison.
    std::vector<std::pair<std::uint64_t, const plan*>> ranked;
    for (const auto* candidate : newest_plans(state.m_directory)) {
        if (is_usable_member(state, now, candidate->m_member))
            ranked.emplace_back(rank_for(state, candidate->m_member.m_node), candidate);
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<const plan*> result;
    result.reserve(ranked.size());
    for (const auto& entry : ranked)
        result.push_back(entry.second);
    return result;
}

/// A witness that promised never to grant again is of no further use to this incarnation.
bool can_witness(const node_state& state, time_point now, const member_ref& member)
{
    return is_usable_member(state, now, member) &&
           state.m_ownership.m_refused_by.count(member) == 0;
}

std::vector<member_ref> kept_witnesses(const node_state& state, time_point now,
                                       const std::vector<member_ref>& current)
{
    std::vector<member_ref> kept;
    for (const auto& member : current) {
        if (can_witness(state, now, member))
            kept.push_back(member);
    }
    return kept;
}

/// Fills `result` up to the size of `current`: a set must not shrink because its members are
/// silent, or a node that is cut off could end with no witnesses and hold its lease alone.
void keep_size(std::vector<member_ref>& result, const std::vector<member_ref>& current)
{
    for (const auto& member : current) {
        if (result.size() < current.size() && !contains(result, member))
            result.push_back(member);
    }
}

/// A standby should be able to serve the slices itself: same service, allowed by the records.
bool can_stand_by(const node_state& state, const plan& candidate)
{
    const auto service = own_service(state);
    if (service.empty() || spaces_of_node(state, service).size() <= 1)
        return true;
    if (candidate.m_service != service)
        return false;
    const auto spaces = spaces_of_node(state, service);
    return std::all_of(spaces.begin(), spaces.end(), [&](const std::string& space) {
        return space == claim_space ||
               records::may_own(state.m_configuration.m_document, space, candidate.m_service,
                                candidate.m_server, candidate.m_zone);
    });
}

std::set<std::string> zones_of(const node_state& state, const std::vector<member_ref>& members)
{
    std::set<std::string> zones;
    for (const auto& member : members) {
        if (const auto* known = find_plan(state.m_directory, member))
            zones.insert(known->m_zone);
    }
    return zones;
}

/// Calls `use` with each member to which the plan's node sends lease requests.
template <class Use>
void for_each_receiver(const plan& value, Use use)
{
    for (const auto& member : value.m_witnesses) {
        if (member != value.m_member)
            use(member);
    }
    for (const auto& member : value.m_standbys) {
        if (!contains(value.m_witnesses, member))
            use(member);
    }
}

bool is_receiver(const plan& value, const member_ref& member)
{
    return contains(value.m_witnesses, member) || contains(value.m_standbys, member);
}

/// Number of nodes that send lease requests to a member, by the hash of the member: two members
/// with the same hash only appear busier, and comparing names costs several times as much.
struct holder_counts
{
    std::unordered_map<std::uint64_t, std::size_t> m_by_member;

    /// Holders above which a member is chosen only for its zone, and is left by the rest.
    std::size_t m_limit = 0;
};

std::uint64_t member_hash(const member_ref& member)
{
    return hash64(member.m_node, member.m_incarnation);
}

std::size_t count_of(const holder_counts& counts, const member_ref& member)
{
    const auto found = counts.m_by_member.find(member_hash(member));
    return found == counts.m_by_member.end() ? 0 : found->second;
}

/// Counts the plans of the other nodes and the own plan.
holder_counts count_holders(const node_state& state)
{
    holder_counts counts;
    std::size_t sum = 0;
    std::size_t nodes = 1;
    const auto add = [&](const plan& value) {
        for_each_receiver(value, [&](const member_ref& member) {
            ++counts.m_by_member[member_hash(member)];
            ++sum;
        });
    };
    add(state.m_ownership.m_plan);
    for (const auto* other : newest_plans(state.m_directory)) {
        if (other->m_member.m_node == state.m_identity.m_node)
            continue;
        add(*other);
        ++nodes;
    }
    // One and a half times the mean keeps the busiest below twice the mean, also when several nodes
    // choose the same member at once. While nodes join, the mean is below that of full plans.
    const auto mean = std::max((sum + nodes - 1) / nodes, state.m_options.m_witness_count);
    counts.m_limit = (3 * mean + 1) / 2;
    return counts;
}

/// Holders of `member` that come before this node in the member's own order.
std::size_t holders_before(const node_state& state, const member_ref& member)
{
    const auto seed = hash64(member.m_node);
    const auto own_rank = hash64(state.m_identity.m_node, seed);
    std::size_t result = 0;
    for (const auto* other : newest_plans(state.m_directory)) {
        const auto& node = other->m_member.m_node;
        if (node != state.m_identity.m_node && is_receiver(*other, member) &&
            hash64(node, seed) < own_rank)
            ++result;
    }
    return result;
}

struct member_exchange
{
    member_ref m_from;
    member_ref m_to;
};

/// Whether `candidate` may take the place of `former` without a loss of zones or abilities.
bool can_replace(const node_state& state, const plan& candidate, const plan& former,
                 const std::vector<member_ref>& receivers)
{
    const bool same_zone = candidate.m_zone == former.m_zone;
    const bool new_zone = candidate.m_zone != state.m_identity.m_zone &&
                          zones_of(state, receivers).count(candidate.m_zone) == 0;
    return (same_zone || new_zone) && !contains(receivers, candidate.m_member) &&
           (can_stand_by(state, candidate) || !can_stand_by(state, former));
}

/// A member for `former`, which has `count` holders of which `after` come after this node.
std::optional<member_ref> less_busy_member(const node_state& state, time_point now,
                                           const holder_counts& counts, const plan& former,
                                           std::size_t after,
                                           const std::vector<member_ref>& receivers)
{
    const auto count = count_of(counts, former.m_member);
    const auto candidates = usable_plans(state, now);
    for (const bool below_limit : {true, false}) {
        for (const auto* candidate : candidates) {
            const auto& member = candidate->m_member;
            const auto other = count_of(counts, member);
            // Holds for the last of the holders first: the others wait until these have moved,
            // because all might choose the same member.
            const bool helps = other + after + 1 <= count - after - 1;
            if (helps && (!below_limit || other < counts.m_limit) &&
                can_witness(state, now, member) &&
                can_replace(state, *candidate, former, receivers))
                return member;
        }
    }
    return std::nullopt;
}

/// A change that takes this node from a member with too many holders. At most one at a time, and
/// only from a complete set, so that it never adds to a repair.
std::optional<member_exchange> find_exchange(const node_state& state, time_point now,
                                             const holder_counts& counts)
{
    const auto& own = state.m_ownership;
    std::vector<member_ref> receivers;
    for_each_receiver(own.m_plan, [&](const auto& member) { receivers.push_back(member); });
    const bool complete =
        own.m_active.m_version != 0 && own.m_plan.m_previous_witnesses.empty() &&
        std::all_of(receivers.begin(), receivers.end(),
                    [&](const member_ref& member) { return can_witness(state, now, member); });
    if (!complete)
        return std::nullopt;
    for (const auto& member : receivers) {
        const auto count = count_of(counts, member);
        if (count <= counts.m_limit)
            continue;
        const auto before = holders_before(state, member);
        const auto after = count - 1 - before;
        if (before < counts.m_limit || 2 * (after + 1) > count)
            continue;
        const auto& former = *find_plan(state.m_directory, member);
        if (const auto other = less_busy_member(state, now, counts, former, after, receivers))
            return member_exchange{member, *other};
    }
    return std::nullopt;
}

/// Whether a witness from a zone that has none could be chosen. A member that was silent counts
/// only after it was heard again, or a cut zone would be tried again and again.
bool other_zone_known(const node_state& state, time_point now, const std::set<std::string>& zones)
{
    const auto candidates = usable_plans(state, now);
    return std::any_of(candidates.begin(), candidates.end(), [&](const plan* candidate) {
        const auto& member = candidate->m_member;
        return zones.count(candidate->m_zone) == 0 && can_witness(state, now, member) &&
               state.m_ownership.m_avoid_until.count(member) == 0;
    });
}

/// Drops one witness that shares its zone when another zone can give one: the loss of a zone with
/// two of three witnesses ends the lease. The set is chosen early, when few zones may be known.
void leave_shared_zone(const node_state& state, time_point now, std::vector<member_ref>& witnesses)
{
    const auto zones = zones_of(state, witnesses);
    if (zones.size() == witnesses.size() || !other_zone_known(state, now, zones))
        return;
    for (auto found = witnesses.begin(); found != witnesses.end(); ++found) {
        std::vector<member_ref> others(witnesses.begin(), found);
        others.insert(others.end(), found + 1, witnesses.end());
        if (zones_of(state, others).size() == zones.size()) {
            witnesses = others;
            return;
        }
    }
}

std::vector<member_ref> exchanged(std::vector<member_ref> members,
                                  const std::optional<member_exchange>& exchange)
{
    if (exchange)
        std::replace(members.begin(), members.end(), exchange->m_from, exchange->m_to);
    return members;
}

} // namespace

bool is_usable_member(const node_state& state, time_point now, const member_ref& member)
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

std::optional<member_ref> usable_member_of(const node_state& state, time_point now,
                                           const node_id& node)
{
    const auto* newest = find_newest_plan(state.m_directory, node);
    if (newest == nullptr || !is_usable_member(state, now, newest->m_member))
        return std::nullopt;
    return newest->m_member;
}

std::vector<member_ref> choose_standbys(const node_state& state, time_point now,
                                        const std::vector<member_ref>& former)
{
    struct ranked_plan
    {
        const plan* m_plan;
        bool m_able;
        std::tuple<bool, bool, bool, bool, bool> m_key;
    };
    const auto counts = count_holders(state);
    auto current = exchanged(former, find_exchange(state, now, counts));
    const auto& own_zone = state.m_identity.m_zone;
    const auto& witnesses = state.m_ownership.m_plan.m_witnesses;
    // Order: able to serve, other zone, already chosen, witness, few holders, rank. A standby that
    // is a witness needs no lease messages of its own. Stable sort keeps the rank order.
    std::vector<ranked_plan> order;
    for (const auto* value : usable_plans(state, now)) {
        const bool able = can_stand_by(state, *value);
        order.push_back(
            {value, able,
             std::make_tuple(!able, value->m_zone == own_zone, !contains(current, value->m_member),
                             !contains(witnesses, value->m_member),
                             count_of(counts, value->m_member) >= counts.m_limit)});
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const ranked_plan& a, const ranked_plan& b) { return a.m_key < b.m_key; });
    std::vector<member_ref> result;
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

std::vector<member_ref> choose_witnesses(const node_state& state, time_point now,
                                         const std::vector<member_ref>& former,
                                         const std::vector<member_ref>& standbys)
{
    const auto counts = count_holders(state);
    const auto current = exchanged(former, find_exchange(state, now, counts));
    auto result = kept_witnesses(state, now, current);
    const auto count = state.m_options.m_witness_count;
    if (result.size() >= count)
        leave_shared_zone(state, now, result);
    if (result.size() >= count)
        return result;
    // Standbys come first: a standby that is a witness needs one message less for a takeover, and
    // its grants show that it is reachable.
    std::vector<member_ref> order = standbys;
    auto candidates = usable_plans(state, now);
    std::stable_partition(candidates.begin(), candidates.end(), [&](const plan* candidate) {
        return count_of(counts, candidate->m_member) < counts.m_limit;
    });
    for (const auto* candidate : candidates) {
        if (!contains(order, candidate->m_member))
            order.push_back(candidate->m_member);
    }
    for (const bool new_zone_only : {true, false}) {
        for (const auto& member : order) {
            const auto* known = find_plan(state.m_directory, member);
            const bool fits = !new_zone_only || zones_of(state, result).count(known->m_zone) == 0;
            const bool able = can_witness(state, now, member);
            if (result.size() < count && able && fits && !contains(result, member))
                result.push_back(member);
        }
    }
    // Two witnesses would both be needed. With the node itself as the third one, the loss of any
    // single node leaves a majority; the node's own grant to itself never ends and never promises.
    if (result.size() == 2 && count > result.size())
        result.push_back(self(state));
    keep_size(result, current);
    return result;
}

bool reachable(const node_state& state, time_point now, const member_ref& member)
{
    const auto& heard = state.m_ownership.m_heard;
    const auto found = heard.find(member);
    return found != heard.end() && now < found->second + state.m_options.m_lease_duration;
}

void note_silent_members(node_state& state, time_point now)
{
    auto& own = state.m_ownership;
    for (const auto& [member, asked] : own.m_asked_since) {
        const auto heard = own.m_heard.find(member);
        const auto latest = heard == own.m_heard.end() ? asked : std::max(asked, heard->second);
        if (now >= latest + state.m_options.m_member_loss_delay)
            own.m_avoid_until[member] = now + state.m_options.m_avoid_time;
    }
}

} // namespace azureladder::core
