#include "ownership_internal.hpp"

#include <azureladder/core/configuration.hpp>
#include <azureladder/core/ownership.hpp>

#include <algorithm>
#include <set>

namespace azureladder::core {

namespace {

constexpr duration max_promise_interval = seconds(10);

/// Time after which a promise is also sent to the nodes that poll the store for slices without an
/// owner.
constexpr duration promise_broadcast_delay = seconds(1);

void send_refusal(const message_received& received, const endpoint& reply_to,
                  lease_refusal_reason reason, const lease_request& request,
                  revision_number revision, effects& output)
{
    lease_refusal refusal;
    refusal.m_reason = reason;
    refusal.m_sequence = request.m_sequence;
    refusal.m_revision = revision;
    if (reason == lease_refusal_reason::unknown_member)
        refusal.m_requested_witness = request.m_witness;
    output.push_back(send_message{received.m_from, reply_to, refusal});
}

bool has_plan_version(const node_state& state, const member_id& member, plan_version version)
{
    const auto& history = state.m_ownership.m_plan_history;
    const auto found = history.find(member);
    return found != history.end() && found->second.count(version) != 0;
}

/// Whether a received plan version names this node as a witness. Standbys and receivers of moves
/// get lease requests only to check that they are reachable. A grant to such a holder would later
/// expire and become a promise, and the promise would prevent this node from being its witness.
bool is_witness_of(const node_state& state, const member_id& member)
{
    const auto history = state.m_ownership.m_plan_history.find(member);
    if (history == state.m_ownership.m_plan_history.end())
        return false;
    const auto witness = self(state);
    const auto& versions = history->second;
    return std::any_of(versions.begin(), versions.end(), [&](const auto& entry) {
        return contains(entry.second.m_witnesses, witness) ||
               contains(entry.second.m_previous_witnesses, witness);
    });
}

/// Version under which the request is granted; zero when it cannot be granted yet. A version
/// without known content is not granted, because only the content determines which standby takes
/// over.
plan_version version_to_grant(const node_state& state, const member_id& member,
                              plan_version requested)
{
    const auto& granted = state.m_ownership.m_granted_leases;
    const auto found = granted.find(member);
    const plan_version former = found == granted.end() ? 0 : found->second.m_version;
    if (requested > former && has_plan_version(state, member, requested))
        return requested;
    return former;
}

/// Adds the nodes of the member's service, which may adopt slices that its plan did not list yet.
/// They receive the promise at once, because a key must be served again within a second.
void add_service_nodes(const node_state& state, const member_id& member,
                       std::set<member_id>& targets)
{
    const auto* lost = find_plan(state.m_directory, member);
    if (lost == nullptr || lost->m_service.empty())
        return;
    for (const auto* other : newest_plans(state.m_directory)) {
        if (other->m_service == lost->m_service && other->m_member.m_node != member.m_node)
            targets.insert(other->m_member);
    }
}

std::set<member_id> promise_targets(const node_state& state, time_point now,
                                    const member_id& member, const granted_lease& granted)
{
    std::set<member_id> targets;
    const auto history = state.m_ownership.m_plan_history.find(member);
    if (history != state.m_ownership.m_plan_history.end()) {
        for (const auto& [version, content] : history->second) {
            const auto standbys = all_successors(content);
            targets.insert(standbys.begin(), standbys.end());
        }
    }
    add_service_nodes(state, member, targets);
    if (now >= granted.m_promised_at + promise_broadcast_delay) {
        const auto pollers = store_polling_members(state);
        targets.insert(pollers.begin(), pollers.end());
        // A node that released slices to the fenced member also needs the promise.
        for (const auto* other : newest_plans(state.m_directory)) {
            if (contains(all_successors(*other), member))
                targets.insert(other->m_member);
        }
    }
    for (const auto& acknowledged : granted.m_acknowledged)
        targets.erase(acknowledged);
    return targets;
}

void send_promise(node_state& state, time_point now, const member_id& member,
                  granted_lease& granted, effects& output)
{
    const fence_promise promise{member, granted.m_version};
    for (const auto& target : promise_targets(state, now, member, granted)) {
        if (target == self(state)) {
            message_received local{self(state), state.m_identity.m_peer_address, promise};
            handle_fence_promise(state, now, local, promise, output);
            granted.m_acknowledged.insert(target);
        } else if (const auto* known = find_plan(state.m_directory, target)) {
            output.push_back(send_message{target, known->m_peer_address, promise});
        }
    }
    granted.m_next_send = now + granted.m_send_interval;
    // Lost members never acknowledge, so the interval grows.
    if (now >= granted.m_promised_at + 2 * promise_broadcast_delay)
        granted.m_send_interval =
            std::min<duration>(granted.m_send_interval * 2, max_promise_interval);
}

void start_promise(node_state& state, time_point now, granted_lease& granted)
{
    granted.m_promised = true;
    granted.m_promised_at = now;
    granted.m_send_interval = state.m_options.m_resend_interval;
    granted.m_next_send = now;
}

} // namespace

void handle_lease_request(node_state& state, time_point now, const message_received& received,
                          const lease_request& request, effects& output)
{
    auto& own = state.m_ownership;
    const auto& member = received.m_from;
    const auto revision = state.m_configuration.m_document.m_revision;
    const auto reply_to = sender_address(state, received);
    const auto refuse = [&](lease_refusal_reason reason) {
        send_refusal(received, reply_to, reason, request, revision, output);
    };
    const auto found = own.m_granted_leases.find(member);
    auto stated_digest = request.m_directory_digest;
    if (stated_digest == 0 && found != own.m_granted_leases.end())
        stated_digest = found->second.m_stated_digest;
    if (stated_digest != 0)
        pull_if_digest_differs(state, now, received, stated_digest, output);
    if (request.m_revision > revision && !reply_to.m_host.empty())
        pull_newer_revision(state, member, reply_to, request.m_revision, output);
    if (request.m_witness != state.m_incarnation || !is_plan_written(state)) {
        refuse(lease_refusal_reason::unknown_member);
        return;
    }
    if (found != own.m_granted_leases.end() && found->second.m_promised) {
        refuse(lease_refusal_reason::fenced);
        return;
    }
    if (request.m_revision < revision) {
        refuse(lease_refusal_reason::stale_revision);
        return;
    }
    const bool leaving = has_lost_witnesses(state, now);
    if (leaving && found == own.m_granted_leases.end()) {
        // The holder must not choose a witness or standby whose incarnation is about to end.
        refuse(lease_refusal_reason::unknown_member);
        return;
    }
    const auto version = version_to_grant(state, member, request.m_plan_version);
    if (version < request.m_plan_version)
        pull_directory(state, now, member, reply_to, output);
    if (version == 0)
        return;
    if (!is_witness_of(state, member)) {
        refuse(lease_refusal_reason::not_a_witness);
        return;
    }
    auto& granted = own.m_granted_leases[member];
    granted.m_version = version;
    granted.m_expires = now + state.m_options.m_lease_duration;
    granted.m_stated_digest = stated_digest;
    lease_grant grant;
    grant.m_plan_version = version;
    grant.m_sequence = request.m_sequence;
    grant.m_revision = revision;
    if (stated_digest != digest(state.m_directory))
        grant.m_directory_digest = digest(state.m_directory);
    output.push_back(send_message{member, reply_to, grant});
    // The holder replaces this witness while its grant is still valid.
    if (leaving)
        refuse(lease_refusal_reason::unknown_member);
}

void handle_fence_ack(node_state& state, const message_received& received, const fence_ack& ack)
{
    const auto found = state.m_ownership.m_granted_leases.find(ack.m_member);
    if (found != state.m_ownership.m_granted_leases.end())
        found->second.m_acknowledged.insert(received.m_from);
}

void step_witness(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    const bool paused =
        own.m_ticked && now - own.m_last_tick > state.m_options.m_lease_duration / 2;
    own.m_last_tick = now;
    own.m_ticked = true;
    for (auto& [member, granted] : own.m_granted_leases) {
        // After a pause, lease requests may be queued. They are handled before the next tick.
        if (!granted.m_promised && !paused && now >= granted.m_expires)
            start_promise(state, now, granted);
        if (granted.m_promised && now >= granted.m_next_send)
            send_promise(state, now, member, granted, output);
    }
}

} // namespace azureladder::core
