#include "ownership_internal.hpp"

#include <azureladder/core/claims.hpp>
#include <azureladder/core/ownership.hpp>

#include <algorithm>
#include <map>

namespace azureladder::core {

namespace {

/// Largest total size of the claims in one release. A peer frame holds 2 MiB; the rest is left for
/// slices and field names.
constexpr std::size_t max_claim_bytes = 1024 * 1024;

/// Encoded size of a claim without its strings.
constexpr std::size_t encoded_claim_overhead = 160;

std::size_t claim_bytes(const claim& value)
{
    return encoded_claim_overhead + value.m_key.size() + value.m_slice.m_space.size() +
           value.m_content_type.size() + value.m_body.size();
}

void send_release(const node_state& state, const member_id& target, release message,
                  effects& output)
{
    if (message.m_slices.empty())
        return;
    message.m_plan_version = state.m_ownership.m_active_plan.m_version;
    // The plan of a former incarnation may have been removed. The newest process of the node
    // answers at the same address.
    const auto* known = find_plan(state.m_directory, target);
    if (known == nullptr)
        known = find_newest_plan(state.m_directory, target.m_node);
    if (known != nullptr)
        output.push_back(send_message{target, known->m_peer_address, std::move(message)});
}

struct sized_claims
{
    std::vector<claim> m_claims;
    std::size_t m_bytes = 0;
};

sized_claims export_claims_within_limit(const node_state& state, const slice_id& slice,
                                        time_point now)
{
    sized_claims result{export_claims(state, slice, now), 0};
    for (auto& value : result.m_claims) {
        result.m_bytes += claim_bytes(value);
        // A claim without its reply still prevents a second execution.
        if (result.m_bytes > max_claim_bytes) {
            result.m_bytes -= value.m_body.size();
            value.m_has_reply = false;
            value.m_body.clear();
        }
    }
    return result;
}

/// Whether this incarnation never accepts a release of the sender's version. A refusal also covers
/// later releases of the same version, because the sender serves the slices again.
bool refuses_version(node_state& state, time_point now, const member_id& from, plan_version version)
{
    auto& refused = state.m_ownership.m_refused_release_versions[from];
    // Without its witnesses this incarnation can no longer serve, whereas the sender may.
    if (state.m_stopping || is_node_out_of_service(state) || has_lost_witnesses(state, now))
        refused = std::max(refused, version);
    return version <= refused;
}

/// Slices of the release that this node has not taken over. For every slice that it has taken over,
/// the directory has a location with a higher epoch.
std::vector<owned_slice> slices_not_taken(const node_state& state, const release& offer)
{
    std::vector<owned_slice> result;
    for (const auto& owned : offer.m_slices) {
        const auto location = find_location(state.m_directory, owned.m_slice);
        if (!location || location->m_epoch <= owned.m_epoch)
            result.push_back(owned);
    }
    return result;
}

/// Slices that this process has not taken over and never will, because it refuses the release or
/// the plan names a former incarnation of it. Another process of this node may have taken over the
/// others.
std::vector<owned_slice> refused_slices(const node_state& state, const plan& content,
                                        const release& offer, bool refuses_release)
{
    const auto& abandoned = state.m_ownership.m_abandoned;
    std::vector<owned_slice> result;
    for (const auto& owned : slices_not_taken(state, offer)) {
        const auto* receiver = successor_of(content, owned.m_slice);
        if (receiver != nullptr &&
            ((refuses_release && *receiver == self(state)) || abandoned.count(*receiver) != 0))
            result.push_back(owned);
    }
    return result;
}

void accept_release(node_state& state, time_point now, const plan& content, const release& offer,
                    effects& output)
{
    std::vector<owned_slice> taken;
    for (const auto& owned : offer.m_slices) {
        if (lists_slice(content, owned.m_slice, owned.m_epoch) &&
            accept_released_slice(state, now, content, owned, output))
            taken.push_back({owned.m_slice, owned.m_epoch + 1});
    }
    // A retransmitted release carries the same claims. They are imported once, when the slice is
    // taken over.
    std::vector<claim> claims;
    for (const auto& value : offer.m_claims) {
        if (std::any_of(taken.begin(), taken.end(),
                        [&](const owned_slice& owned) { return owned.m_slice == value.m_slice; }))
            claims.push_back(value);
    }
    import_claims(state, claims, now);
    update_serving(state, now, output);
    send_owner_notices(state, taken, output);
}

} // namespace

void step_release(node_state& state, time_point now, effects& output)
{
    std::map<member_id, std::pair<release, std::size_t>> batches;
    for (auto& [slice, held] : state.m_ownership.m_slices) {
        if (held.m_phase != slice_phase::releasing || now < held.m_next_send)
            continue;
        held.m_next_send = now + state.m_options.m_resend_interval;
        const auto [claims, bytes] = export_claims_within_limit(state, slice, now);
        auto& [message, used] = batches[held.m_handoff_receiver];
        if (used + bytes > max_claim_bytes) {
            send_release(state, held.m_handoff_receiver, std::move(message), output);
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

void handle_release(node_state& state, time_point now, const message_received& received,
                    const release& offer, effects& output)
{
    auto& own = state.m_ownership;
    const auto versions = own.m_plan_history.find(received.m_from);
    const bool known =
        versions != own.m_plan_history.end() && versions->second.count(offer.m_plan_version) != 0;
    if (!known) {
        pull_directory(state, now, received.m_from, received.m_reply_to, output);
        return;
    }
    const plan content = versions->second.at(offer.m_plan_version);
    const bool refused = refuses_version(state, now, received.m_from, offer.m_plan_version);
    if (!refused && !holds_lease(state, now))
        return; // the sender repeats the release
    if (!refused)
        accept_release(state, now, content, offer, output);
    release_ack ack;
    ack.m_plan_version = offer.m_plan_version;
    ack.m_refused = refused_slices(state, content, offer, refused);
    output.push_back(send_message{received.m_from, received.m_reply_to, std::move(ack)});
    send_newer_owners(state, received, offer.m_slices, output);
}

void handle_release_ack(node_state& state, time_point now, const message_received& received,
                        const release_ack& ack)
{
    auto& own = state.m_ownership;
    // Releases were sent under the active version or an earlier one. Only a refusal of the active
    // version covers all of them.
    if (ack.m_refused.empty() || ack.m_plan_version != own.m_active_plan.m_version)
        return;
    for (const auto& owned : ack.m_refused) {
        const auto found = own.m_slices.find(owned.m_slice);
        if (found == own.m_slices.end())
            continue;
        auto& held = found->second;
        // A newer incarnation answers for former incarnations of its process.
        if (held.m_phase == slice_phase::releasing &&
            held.m_handoff_receiver.m_node == received.m_from.m_node &&
            held.m_epoch == owned.m_epoch)
            resume_serving(held, now);
    }
    own.m_avoid_until[received.m_from] = now + state.m_options.m_member_avoid_duration;
    // The receiver accepts only releases of later versions.
    own.m_stored_version = std::max(own.m_stored_version, own.m_plan.m_version + 1);
}

} // namespace azureladder::core
