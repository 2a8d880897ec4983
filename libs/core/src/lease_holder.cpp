#include "ownership_internal.hpp"

#include <azureladder/core/configuration.hpp>
#include <azureladder/core/ownership.hpp>

#include <algorithm>
#include <set>

namespace azureladder::core {

namespace {

/// Number of rounds after which an unchanged directory digest is sent again, because the datagram
/// that carried it may have been lost.
constexpr std::uint64_t digest_resend_rounds = 5;

/// Lease end of a node without witnesses. Half the range avoids overflow in additions.
constexpr time_point never{duration::max() / 2};

time_point majority_grant_end(const ownership_state& own, const std::vector<member_id>& set)
{
    if (set.empty())
        return never;
    // Called for each request, so the expiries are counted instead of sorted.
    const auto end_of = [&](const member_id& member) {
        if (member == own.m_plan.m_member)
            return never;
        const auto found = own.m_received_grants.find(member);
        return found == own.m_received_grants.end() ? time_point{} : found->second.m_valid_until;
    };
    time_point result{};
    for (const auto& member : set) {
        const auto end = end_of(member);
        const auto not_earlier = std::count_if(
            set.begin(), set.end(), [&](const member_id& other) { return end_of(other) >= end; });
        if (std::size_t(not_earlier) > set.size() / 2)
            result = std::max(result, end);
    }
    return result;
}

time_point lease_end_under_plan(const ownership_state& own, const plan& value)
{
    return std::min(majority_grant_end(own, value.m_witnesses),
                    majority_grant_end(own, value.m_previous_witnesses));
}

void add_targets(std::set<member_id>& targets, const std::vector<member_id>& members)
{
    targets.insert(members.begin(), members.end());
}

/// Receivers of lease requests. They include the standbys, whose grants do not count: their
/// responses show that they are reachable.
std::set<member_id> lease_targets(const ownership_state& own)
{
    std::set<member_id> targets;
    for (const auto* value : {&own.m_plan, &own.m_active_plan}) {
        add_targets(targets, value->m_witnesses);
        add_targets(targets, value->m_previous_witnesses);
        add_targets(targets, all_successors(*value));
    }
    targets.erase(own.m_plan.m_member);
    return targets;
}

bool majority_fenced(const ownership_state& own, const std::vector<member_id>& set)
{
    const auto refused = std::count_if(set.begin(), set.end(), [&](const member_id& member) {
        return own.m_fenced_by.count(member) != 0;
    });
    return !set.empty() && std::size_t(refused) * 2 >= set.size();
}

/// Whether the witnesses that can still grant a lease are no longer a majority.
bool is_fenced(const ownership_state& own)
{
    const auto& active = own.m_active_plan.m_version == 0 ? own.m_plan : own.m_active_plan;
    return majority_fenced(own, active.m_witnesses) ||
           majority_fenced(own, active.m_previous_witnesses);
}

void renew_backend_lease(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    if (!state.m_backend || state.m_backend->m_fencing != fencing::checked)
        return;
    const auto until = std::min(lease_end(state), now + state.m_options.m_lease_duration);
    const bool never_expires = lease_end(state) == never;
    // Without witnesses no grant renews the lease, so it is extended when half of it has passed.
    const auto due = never_expires
                         ? own.m_backend_lease_until - state.m_options.m_lease_duration / 2
                         : own.m_backend_lease_until;
    if (until <= now || until <= own.m_backend_lease_until || (never_expires && now < due))
        return;
    own.m_backend_lease_until = until;
    output.push_back(extend_backend_lease{until});
}

void remove_expired_rounds(node_state& state, time_point now)
{
    auto& own = state.m_ownership;
    for (auto it = own.m_lease_rounds.begin(); it != own.m_lease_rounds.end();) {
        const bool old = it->second + state.m_options.m_lease_duration < now;
        it = old ? own.m_lease_rounds.erase(it) : std::next(it);
    }
    const auto targets = lease_targets(own);
    for (auto it = own.m_first_request.begin(); it != own.m_first_request.end();)
        it = targets.count(it->first) == 0 ? own.m_first_request.erase(it) : std::next(it);
}

void update_lease_state(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    const bool held = holds_lease(state, now);
    if (own.m_had_lease && !held) {
        log_event(output, log_level::warning, "lease_lost",
                  {{"plan_version", own.m_active_plan.m_version}});
    }
    own.m_had_lease = held;
    if (held || own.m_phase != join_phase::joined || !state.m_configuration.m_read_after_join)
        own.m_last_lease_time = now;
}

/// Time until the next lease round. The interval is shorter for a while after a new plan version,
/// because the first requests reach a witness before the content of the version does.
duration round_interval(const node_state& state, time_point now)
{
    const auto& own = state.m_ownership;
    const bool waiting = own.m_plan.m_version != own.m_active_plan.m_version &&
                         now < own.m_plan_written_at + state.m_options.m_lease_interval;
    return waiting ? state.m_options.m_activation_interval : state.m_options.m_lease_interval;
}

} // namespace

bool holds_lease(const node_state& state, time_point now)
{
    return now < lease_end(state);
}

time_point lease_end(const node_state& state)
{
    const auto& own = state.m_ownership;
    if (own.m_phase != join_phase::joined || !state.m_configuration.m_read_after_join ||
        own.m_active_plan.m_version == 0)
        return time_point{};
    // A takeover under a version that is not active yet also needs a majority of the active
    // version's witnesses, because these are its witnesses or its previous witnesses. The first
    // version with witnesses has no previous ones, so the grants must cover both versions there.
    if (own.m_active_plan.m_witnesses.empty())
        return lease_end_under_plan(own, own.m_plan);
    return lease_end_under_plan(own, own.m_active_plan);
}

void send_lease_round(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    if (own.m_phase != join_phase::joined || !state.m_configuration.m_read_after_join)
        return;
    const auto sequence = ++own.m_sequence;
    own.m_lease_rounds[sequence] = now;
    own.m_next_lease_round = now + round_interval(state, now);
    own.m_round_revision = state.m_configuration.m_document.m_revision;
    const auto known_digest = digest(state.m_directory);
    const bool due = sequence % digest_resend_rounds == 0 || known_digest != own.m_round_digest;
    own.m_round_digest = known_digest;
    for (const auto& member : lease_targets(own)) {
        const auto* known = find_plan(state.m_directory, member);
        const bool first = own.m_first_request.emplace(member, now).second;
        if (known == nullptr)
            continue;
        lease_request request;
        request.m_witness = member.m_incarnation;
        request.m_plan_version = own.m_plan.m_version;
        request.m_sequence = sequence;
        request.m_revision = own.m_round_revision;
        if (due || first)
            request.m_directory_digest = known_digest;
        output.push_back(send_message{member, known->m_peer_address, request});
    }
}

void step_lease(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    remove_expired_rounds(state, now);
    const bool new_revision = own.m_round_revision != state.m_configuration.m_document.m_revision;
    if (now >= own.m_next_lease_round || new_revision)
        send_lease_round(state, now, output);
    activate_granted_plan(state, now, output);
    avoid_unresponsive_members(state, now);
    update_lease_state(state, now, output);
    if (holds_lease(state, now))
        renew_backend_lease(state, now, output);
}

void handle_lease_grant(node_state& state, time_point now, const message_received& received,
                        const lease_grant& grant, effects& output)
{
    auto& own = state.m_ownership;
    const auto round = own.m_lease_rounds.find(grant.m_sequence);
    if (round == own.m_lease_rounds.end())
        return;
    own.m_last_response[received.m_from] = now;
    own.m_avoid_until.erase(received.m_from);
    constexpr std::int64_t permille = 1000;
    const auto shortened = state.m_options.m_lease_duration *
                           (permille - state.m_options.m_clock_rate_error_permille) / permille;
    auto& held = own.m_received_grants[received.m_from];
    held.m_valid_until = std::max(held.m_valid_until, round->second + shortened);
    held.m_version = std::max(held.m_version, grant.m_plan_version);
    const auto address = sender_address(state, received);
    const auto revision = state.m_configuration.m_document.m_revision;
    if (grant.m_revision > revision && !address.m_host.empty())
        pull_newer_revision(state, received.m_from, address, grant.m_revision, output);
    if (grant.m_directory_digest != 0)
        pull_if_digest_differs(state, now, received, grant.m_directory_digest, output);
    activate_granted_plan(state, now, output);
    if (holds_lease(state, now))
        renew_backend_lease(state, now, output);
}

void handle_lease_refusal(node_state& state, time_point now, const message_received& received,
                          const lease_refusal& refusal, effects& output)
{
    auto& own = state.m_ownership;
    if (own.m_lease_rounds.find(refusal.m_sequence) == own.m_lease_rounds.end())
        return;
    // A member that cannot grant a lease can still take over slices.
    own.m_last_response[received.m_from] = now;
    switch (refusal.m_reason) {
    case lease_refusal_reason::not_a_witness:
        own.m_avoid_until.erase(received.m_from);
        return;
    case lease_refusal_reason::stale_revision:
        pull_newer_revision(state, received.m_from, received.m_reply_to, refusal.m_revision,
                            output);
        return;
    case lease_refusal_reason::unknown_member: {
        // The sender's node no longer runs the incarnation that the request named.
        const member_id gone{received.m_from.m_node, refusal.m_requested_witness};
        own.m_avoid_until[gone] = now + state.m_options.m_member_avoid_duration;
        if (find_plan(state.m_directory, received.m_from) == nullptr)
            pull_directory(state, now, received.m_from, received.m_reply_to, output);
        return;
    }
    case lease_refusal_reason::fenced:
        own.m_fenced_by.insert(received.m_from);
        break;
    }
    if (!is_fenced(own))
        return;
    log_event(output, log_level::warning, "fenced", {{"plan_version", own.m_plan.m_version}});
    begin_join(state, now, true, output);
}

} // namespace azureladder::core
