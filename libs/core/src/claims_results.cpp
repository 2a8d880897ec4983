#include "claims_internal.hpp"

#include <azureladder/core/ownership.hpp>

#include <algorithm>

/// Delivery of the outcomes of claimed requests to the owner of the claim slice. A lost outcome
/// would leave the claim in progress, and a retry by the caller would not get the stored reply.
namespace azureladder::core {

namespace {

/// Unacknowledged outcomes that are stored for resending. With stored replies of 4 KiB they take up
/// to 4 MiB of the 32 MB of a node. Further outcomes are sent only once.
constexpr std::size_t max_pending_results = 1024;

/// Longest interval between two sends of an unacknowledged outcome.
constexpr duration max_result_interval = seconds(2);

/// Sends an outcome to the current owner, which may differ from the one at the previous send.
void send_result(claims_context& context, const claim_result& result)
{
    const auto& state = context.m_state;
    const auto location = find_location(state.m_directory, result.m_claim.m_slice);
    if (!location || location->m_owner == self(state))
        return;
    if (const auto* owner = find_plan(state.m_directory, location->m_owner))
        context.m_output.emplace_back(send_message{owner->m_member, owner->m_peer_address, result});
}

} // namespace

void report_outcome(claims_context& context, const claim_result& result)
{
    if (serving_epoch(context.m_state, result.m_claim.m_slice, context.m_now)) {
        finish_claim(context, self(context.m_state), result);
        return;
    }
    auto& results = context.m_state.m_claims.m_results;
    const auto interval = context.m_state.m_options.m_resend_interval;
    if (results.size() < max_pending_results)
        results[result.m_token] = {result, context.m_now, context.m_now + interval, interval};
    send_result(context, result);
}

void resend_results(claims_context& context)
{
    auto& results = context.m_state.m_claims.m_results;
    for (auto found = results.begin(); found != results.end();) {
        auto& pending = found->second;
        // After this time the owner has changed the claim to `unknown`.
        bool done = context.m_now - pending.m_started >= claim_in_progress_timeout;
        if (!done && context.m_now >= pending.m_next_send) {
            pending.m_interval = std::min(2 * pending.m_interval, max_result_interval);
            pending.m_next_send = context.m_now + pending.m_interval;
            done = serving_epoch(context.m_state, pending.m_result.m_claim.m_slice, context.m_now)
                       .has_value();
            if (done)
                finish_claim(context, self(context.m_state), pending.m_result);
            else
                send_result(context, pending.m_result);
        }
        found = done ? results.erase(found) : std::next(found);
    }
}

void handle_result(claims_context& context, const message_received& input,
                   const claim_result& result)
{
    finish_claim(context, input.m_from, result);
    // A leaving owner may already have transferred the claim, so only the next owner acknowledges.
    if (serving_epoch(context.m_state, result.m_claim.m_slice, context.m_now))
        context.m_output.emplace_back(
            send_message{input.m_from, input.m_reply_to, claim_result_ack{result.m_token}});
}

} // namespace azureladder::core
