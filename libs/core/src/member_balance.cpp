#include "plan_members.hpp"

#include "ownership_internal.hpp"

#include <azureladder/base/hash.hpp>

#include <algorithm>

/// Balances the number of holders per member: a node leaves members that are witness or standby for
/// many more nodes than the mean.
namespace azureladder::core {

namespace {

/// Calls `use` for each member that receives lease requests from the plan's node.
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

bool is_receiver(const plan& value, const member_id& member)
{
    return contains(value.m_witnesses, member) || contains(value.m_standbys, member);
}

std::uint64_t member_hash(const member_id& member)
{
    return hash64(member.m_node, member.m_incarnation);
}

/// Number of holders of `member` that precede this node in the member's own hash order.
std::size_t holders_before(const node_state& state, const member_id& member)
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

/// Whether `candidate` may replace `former` without reducing the zones or the standbys that can
/// serve.
bool can_replace(const node_state& state, const plan& candidate, const plan& former,
                 const std::vector<member_id>& receivers)
{
    const bool same_zone = candidate.m_zone == former.m_zone;
    const bool new_zone = candidate.m_zone != state.m_identity.m_zone &&
                          zones_of(state, receivers).count(candidate.m_zone) == 0;
    return (same_zone || new_zone) && !contains(receivers, candidate.m_member) &&
           (can_be_standby(state, candidate) || !can_be_standby(state, former));
}

/// Member that may replace `former`, which has `count` holders; `after` of them follow this node.
std::optional<member_id> find_less_loaded_member(const node_state& state, time_point now,
                                                 const holder_counts& counts, const plan& former,
                                                 std::size_t after,
                                                 const std::vector<member_id>& receivers)
{
    const auto count = holder_count(counts, former.m_member);
    const auto candidates = usable_plans(state, now);
    for (const bool below_limit : {true, false}) {
        for (const auto* candidate : candidates) {
            const auto& member = candidate->m_member;
            const auto other = holder_count(counts, member);
            // Met first by the last holders in the order. The others wait until these have moved,
            // because all of them might choose the same member.
            const bool is_less_loaded = other + after + 1 <= count - after - 1;
            if (is_less_loaded && (!below_limit || other < counts.m_limit) &&
                can_be_witness(state, now, member) &&
                can_replace(state, *candidate, former, receivers))
                return member;
        }
    }
    return std::nullopt;
}

} // namespace

std::size_t holder_count(const holder_counts& counts, const member_id& member)
{
    const auto found = counts.m_by_member.find(member_hash(member));
    return found == counts.m_by_member.end() ? 0 : found->second;
}

holder_counts count_holders(const node_state& state)
{
    holder_counts counts;
    std::size_t sum = 0;
    std::size_t nodes = 1;
    const auto add = [&](const plan& value) {
        for_each_receiver(value, [&](const member_id& member) {
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
    // A limit of one and a half times the mean keeps the busiest member below twice the mean, even
    // when several nodes choose the same member at once. While nodes join, the mean is below that
    // of full plans.
    const auto mean = std::max((sum + nodes - 1) / nodes, state.m_options.m_witness_count);
    counts.m_limit = (3 * mean + 1) / 2;
    return counts;
}

std::optional<member_exchange> find_member_exchange(const node_state& state, time_point now,
                                                    const holder_counts& counts)
{
    const auto& own = state.m_ownership;
    std::vector<member_id> receivers;
    for_each_receiver(own.m_plan, [&](const auto& member) { receivers.push_back(member); });
    const bool complete =
        own.m_active_plan.m_version != 0 && own.m_plan.m_previous_witnesses.empty() &&
        std::all_of(receivers.begin(), receivers.end(),
                    [&](const member_id& member) { return can_be_witness(state, now, member); });
    if (!complete)
        return std::nullopt;
    for (const auto& member : receivers) {
        const auto count = holder_count(counts, member);
        if (count <= counts.m_limit)
            continue;
        const auto before = holders_before(state, member);
        const auto after = count - 1 - before;
        if (before < counts.m_limit || 2 * (after + 1) > count)
            continue;
        const auto& former = *find_plan(state.m_directory, member);
        if (const auto other =
                find_less_loaded_member(state, now, counts, former, after, receivers))
            return member_exchange{member, *other};
    }
    return std::nullopt;
}

std::vector<member_id> apply_exchange(std::vector<member_id> members,
                                      const std::optional<member_exchange>& exchange)
{
    if (exchange)
        std::replace(members.begin(), members.end(), exchange->m_from, exchange->m_to);
    return members;
}

} // namespace azureladder::core
