#include "ownership_internal.hpp"

#include <azureladder/core/claims.hpp>
#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

#include <algorithm>
#include <map>

namespace azureladder::core {

namespace {

/// Bytes of claims in one release or handover. A peer frame holds 2 MiB; the rest is left for
/// slices and field names.
constexpr std::size_t max_claim_bytes = 1024 * 1024;

/// Encoded size of a claim besides its texts.
constexpr std::size_t claim_overhead = 160;

std::size_t claim_bytes(const claim& value)
{
    return claim_overhead + value.m_key.size() + value.m_slice.m_space.size() +
           value.m_content_type.size() + value.m_body.size();
}

bool lists(const plan& value, const slice_id& slice, epoch_number epoch)
{
    return std::any_of(value.m_slices.begin(), value.m_slices.end(), [&](const owned_slice& owned) {
        return owned.m_slice == slice && owned.m_epoch == epoch;
    });
}

/// Lease lost for so long that it does not come back: two of three witnesses are lost.
bool witnesses_lost(const node_state& state, time_point now)
{
    const auto& own = state.m_ownership;
    return own.m_phase == join_phase::joined && own.m_active.m_version != 0 &&
           !holds_lease(state, now) &&
           now >= own.m_lease_held_at + state.m_options.m_member_loss_delay;
}

bool leaves_everything(const node_state& state, time_point now)
{
    return state.m_stopping || node_out_of_service(state) || witnesses_lost(state, now);
}

bool must_leave(const node_state& state, time_point now, const slice_id& slice,
                const held_slice& held)
{
    if (leaves_everything(state, now) || !held.m_allowed)
        return true;
    return slice.m_space != claim_space && backend_leaving(state, now);
}

/// Standby that a release of the slice may go to, if there is one. A plan version that is not
/// active yet must name the same standby, because either version can win if this node fails.
std::optional<member_ref> release_target(const node_state& state, time_point now,
                                         const slice_id& slice, const held_slice& held)
{
    const auto& own = state.m_ownership;
    if (own.m_active.m_standbys.empty() || !lists(own.m_active, slice, held.m_epoch))
        return std::nullopt;
    const auto& standby = own.m_active.m_standbys[standby_index(own.m_active, slice)];
    if (own.m_plan.m_version != own.m_active.m_version) {
        if (own.m_plan.m_standbys.empty() || !lists(own.m_plan, slice, held.m_epoch))
            return std::nullopt;
        if (own.m_plan.m_standbys[standby_index(own.m_plan, slice)] != standby)
            return std::nullopt;
    }
    if (!reachable(state, now, standby) || !is_usable_member(state, now, standby))
        return std::nullopt;
    const auto eligible = eligible_nodes(state, slice.m_space);
    const bool able = std::find(eligible.begin(), eligible.end(), standby.m_node) != eligible.end();
    if (!able && !state.m_stopping && !witnesses_lost(state, now))
        return std::nullopt;
    return standby;
}

void set_phase(held_slice& held, slice_phase phase, time_point now)
{
    held.m_phase = phase;
    held.m_phase_since = now;
    held.m_next_send = now;
}

std::string exit_reason(const node_state& state, time_point now, const held_slice& held)
{
    if (state.m_stopping)
        return "stopping";
    if (node_out_of_service(state))
        return "out_of_service";
    if (witnesses_lost(state, now))
        return "witnesses_lost";
    return held.m_allowed ? "backend_lost" : "not_allowed";
}

void start_exit(node_state& state, time_point now, const slice_id& slice, held_slice& held)
{
    const auto standby = release_target(state, now, slice, held);
    if (standby) {
        held.m_target = *standby;
        held.m_by_release = true;
    } else {
        const auto target = handover_target(state, now, slice);
        if (!target)
            return;
        held.m_target = *target;
        held.m_by_release = false;
    }
    held.m_exit_reason = exit_reason(state, now, held);
    set_phase(held, slice_phase::draining, now);
}

void finish_drain(node_state& state, time_point now, const slice_id& slice, held_slice& held)
{
    if (in_flight(state, slice) != 0)
        return;
    if (!held.m_by_release) {
        set_phase(held, slice_phase::leaving_plan, now);
        return;
    }
    const auto standby = release_target(state, now, slice, held);
    if (!standby || *standby != held.m_target || !must_leave(state, now, slice, held)) {
        set_phase(held, slice_phase::serving, now);
        return;
    }
    set_phase(held, slice_phase::releasing, now);
    // A plan change that has not been written must not follow the release.
    state.m_ownership.m_proposal.reset();
}

void send_release(const node_state& state, const member_ref& target, release message,
                  effects& output)
{
    if (message.m_slices.empty())
        return;
    message.m_plan_version = state.m_ownership.m_active.m_version;
    if (const auto* known = find_plan(state.m_directory, target))
        output.push_back(send_message{target, known->m_peer_address, std::move(message)});
}

void send_releases(node_state& state, time_point now, effects& output)
{
    std::map<member_ref, std::pair<release, std::size_t>> batches;
    for (auto& [slice, held] : state.m_ownership.m_slices) {
        if (held.m_phase != slice_phase::releasing || now < held.m_next_send)
            continue;
        held.m_next_send = now + state.m_options.m_resend_interval;
        auto claims = claims_to_send(state, slice, now);
        std::size_t bytes = 0;
        for (const auto& value : claims)
            bytes += claim_bytes(value);
        auto& [message, used] = batches[held.m_target];
        if (used + bytes > max_claim_bytes) {
            send_release(state, held.m_target, std::move(message), output);
            message = release{};
            used = 0;
        }
        used += bytes;
        message.m_slices.push_back({slice, held.m_epoch});
        message.m_claims.insert(message.m_claims.end(), claims.begin(), claims.end());
    }
    for (auto& [target, batch] : batches)
        send_release(state, target, std::move(batch.first), output);
}

/// A released slice whose standby is fenced itself: that standby may have used the next epoch.
void take_back_from_fenced(node_state& state, time_point now, const slice_id& slice,
                           held_slice& held)
{
    if (fenced_plan(state, held.m_target) != nullptr && holds_lease(state, now))
        take_back(state, now, slice, held, "standby_lost");
}

bool majority_unusable(const node_state& state, time_point now, const std::vector<member_ref>& set)
{
    std::vector<member_ref> usable;
    for (const auto& member : set) {
        if (member == self(state) || is_usable_member(state, now, member))
            usable.push_back(member);
    }
    return !is_majority(usable, set);
}

bool majority_replaced(const node_state& state, const std::vector<member_ref>& set)
{
    std::vector<member_ref> remaining;
    for (const auto& member : set) {
        const auto* newest = find_newest_plan(state.m_directory, member.m_node);
        if (newest == nullptr || newest->m_member == member)
            remaining.push_back(member);
    }
    return !is_majority(remaining, set);
}

/// Replaces witnesses that were chosen at the join and whose processes have been replaced. They
/// granted nothing and, after the longest pause, cannot grant any more, so that their version can
/// never be promised. Joining again would take this node's grants from the nodes that rely on it.
void replace_first_witnesses(node_state& state, time_point now)
{
    auto& own = state.m_ownership;
    const auto wait = state.m_options.m_pause_limit + state.m_options.m_lease_duration;
    if (now < own.m_lease_held_at + wait || own.m_proposal || !own.m_slices.empty())
        return;
    own.m_proposal = next_plan(state, now);
    own.m_lease_held_at = now;
}

void rejoin_when_lost(node_state& state, time_point now, effects& output)
{
    auto& own = state.m_ownership;
    if (own.m_phase != join_phase::joined || state.m_stopping)
        return;
    const auto& options = state.m_options;
    if (own.m_active.m_version == 0) {
        if (majority_replaced(state, own.m_plan.m_witnesses)) {
            replace_first_witnesses(state, now);
            return;
        }
        // No lease was ever held, so nothing was served. The witnesses chosen at the join are lost.
        const bool unusable = majority_unusable(state, now, own.m_plan.m_witnesses);
        const auto limit =
            unusable ? options.m_member_loss_delay / 2 : 2 * options.m_member_loss_delay;
        // Two nodes that name each other's former incarnations must not join again in step.
        if (now >= own.m_lease_held_at + limit + own.m_rejoin_jitter)
            begin_join(state, now, true, output);
        return;
    }
    if (!witnesses_lost(state, now))
        return;
    const bool expired = now >= own.m_lease_held_at + options.m_release_timeout;
    if (own.m_slices.empty() || expired)
        begin_join(state, now, true, output);
}

} // namespace

std::vector<claim> claims_to_send(const node_state& state, const slice_id& slice, time_point now)
{
    auto claims = export_claims(state, slice, now);
    std::size_t bytes = 0;
    for (auto& value : claims) {
        bytes += claim_bytes(value);
        // Without its reply a claim still prevents a second execution.
        if (bytes > max_claim_bytes) {
            bytes -= value.m_body.size();
            value.m_has_reply = false;
            value.m_body.clear();
        }
    }
    return claims;
}

void step_release(node_state& state, time_point now, effects& output)
{
    rejoin_when_lost(state, now, output);
    for (auto& [slice, held] : state.m_ownership.m_slices) {
        if (held.m_phase == slice_phase::serving && must_leave(state, now, slice, held))
            start_exit(state, now, slice, held);
        if (held.m_phase == slice_phase::draining)
            finish_drain(state, now, slice, held);
        if (held.m_phase == slice_phase::releasing)
            take_back_from_fenced(state, now, slice, held);
    }
    send_releases(state, now, output);
}

void handle_release(node_state& state, time_point now, const message_received& received,
                    const release& offer, effects& output)
{
    auto& own = state.m_ownership;
    const auto versions = own.m_plan_history.find(received.m_from);
    const bool known =
        versions != own.m_plan_history.end() && versions->second.count(offer.m_plan_version) != 0;
    if (!known) {
        pull_table(state, now, received.m_from, received.m_reply_to, output);
        return;
    }
    // A node that cannot serve lets the sender repeat the release or end without it.
    if (!takes_new_work(state, now))
        return;
    const plan content = versions->second.at(offer.m_plan_version);
    std::vector<owned_slice> taken;
    for (const auto& owned : offer.m_slices) {
        if (lists(content, owned.m_slice, owned.m_epoch) &&
            accept_released_slice(state, now, content, owned, output))
            taken.push_back({owned.m_slice, owned.m_epoch + 1});
    }
    // A repeated release brings the same claims; they are taken once, with the slice.
    std::vector<claim> claims;
    for (const auto& value : offer.m_claims) {
        if (std::any_of(taken.begin(), taken.end(),
                        [&](const owned_slice& owned) { return owned.m_slice == value.m_slice; }))
            claims.push_back(value);
    }
    import_claims(state, claims, now);
    output.push_back(
        send_message{received.m_from, received.m_reply_to, release_ack{offer.m_plan_version}});
    confirm_slices(state, received, offer.m_slices, output);
    update_serving(state, now, output);
    announce_owner(state, taken, output);
}

} // namespace azureladder::core
