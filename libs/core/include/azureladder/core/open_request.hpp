#pragma once

#include <azureladder/core/directory.hpp>
#include <azureladder/core/error_code.hpp>
#include <azureladder/core/request_info.hpp>

#include <string>
#include <vector>

namespace azureladder::core {

enum class request_phase
{
    claiming,      // asks whether the request was seen before
    waiting_owner, // no reachable owner of the slice; tried again later
    queued,        // waits for a slot of the backend server beside the node
    active,        // at least one attempt is open
};

inline constexpr enum_name<request_phase> request_phase_names[] = {
    {request_phase::claiming, "claiming"},
    {request_phase::waiting_owner, "waiting_owner"},
    {request_phase::queued, "queued"},
    {request_phase::active, "active"},
};

/// Claim of a non-idempotent request with an idempotency key.
struct request_claim
{
    slice_id m_slice;

    /// "service/idempotency key"; empty when the request needs no claim.
    std::string m_key;

    /// Whether the owner of the claim slice may have stored a claim for this request.
    bool m_asked = false;

    /// Whether the owner allowed the request to proceed.
    bool m_held = false;

    /// Whether an earlier request with the same idempotency key was in progress at the last answer.
    bool m_in_progress = false;
    time_point m_resend_at{};

    /// End of the wait for that request or for the next owner of the slice; set when it begins.
    time_point m_wait_until{};
};

/// A request that this node still has to answer.
struct open_request
{
    request_info m_info;

    /// Whether the request came from a caller; otherwise a peer forwarded it.
    bool m_entry = true;

    /// Slice of the key; the space is empty for spread services.
    slice_id m_slice;
    time_point m_arrived{};
    time_point m_deadline{};
    request_phase m_phase = request_phase::active;
    attempt_number m_last_attempt = 0;

    /// Whether an ended attempt may have been executed, and how that attempt ended.
    bool m_maybe_executed = false;
    error_code m_lost_code = error_code::peer_lost;

    /// How the last attempt ended that was proven not to be executed.
    error_code m_last_error = error_code::no_upstream;

    /// Nodes that an attempt was sent to.
    std::vector<node_id> m_tried;
    std::uint32_t m_retries = 0;
    bool m_hedged = false;
    time_point m_hedge_at = time_point::max();

    /// While waiting for an owner: next try, end of the wait, and the location tried last.
    time_point m_retry_at = time_point::max();
    time_point m_wait_until{};
    slice_location m_tried_location;

    request_claim m_claim;

    /// The caller has gone, but the outcome is awaited for the claim.
    bool m_abandoned = false;

    /// Time under which the request is registered in the timers.
    time_point m_wake = time_point::max();
};

/// One dispatch or forward that has not been reported as finished.
struct open_attempt
{
    /// Sent to the backend server beside the node; otherwise forwarded to `m_to`.
    bool m_local = false;
    member_ref m_to;
    std::string m_service;
    owned_slice m_slice;
    time_point m_started{};
    time_point m_deadline{};
    bool m_hedge = false;
    bool m_cancelled = false;

    /// The request no longer awaits this attempt; the record only keeps its slot.
    bool m_settled = false;
};

} // namespace azureladder::core
