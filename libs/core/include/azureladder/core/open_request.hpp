#pragma once

#include <azureladder/core/directory.hpp>
#include <azureladder/core/error_code.hpp>
#include <azureladder/core/request_info.hpp>

#include <string>
#include <vector>

namespace azureladder::core {

enum class request_phase
{
    claiming,      // waits for the reply to the claim of its idempotency key
    waiting_owner, // no reachable owner or upstream; retried later
    queued,        // waits for a slot of the local backend server
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
    bool m_requested = false;

    /// Whether the owner of the claim slice allowed the request to proceed.
    bool m_held = false;

    /// Whether the last reply reported that an earlier request with the same idempotency key is in
    /// progress.
    bool m_in_progress = false;

    /// Time at which the claim is requested again.
    time_point m_resend_at{};

    /// End of the wait for the outcome of that request or for the next owner of the slice; set when
    /// the wait begins.
    time_point m_wait_until{};
};

/// A request that this node has not answered yet.
struct open_request
{
    request_info m_info;

    /// Whether this node is the entry node, which received the request from its caller; otherwise a
    /// peer forwarded the request.
    bool m_is_entry = true;

    /// Slice of the key; the space is empty for services that are not divided by key.
    slice_id m_slice;
    time_point m_arrived{};
    time_point m_deadline{};
    request_phase m_phase = request_phase::active;
    attempt_number m_last_attempt = 0;

    /// Whether a finished attempt may have been executed, and the error of that attempt.
    bool m_may_have_executed = false;
    error_code m_lost_error = error_code::peer_lost;

    /// Error of the latest attempt that was proven not to be executed.
    error_code m_last_error = error_code::no_upstream;

    /// Nodes to which an attempt was sent.
    std::vector<node_id> m_attempted_nodes;
    std::uint32_t m_retries = 0;
    bool m_hedged = false;

    /// Time of the hedge; the maximum when none is scheduled.
    time_point m_hedge_at = time_point::max();

    /// Next routing attempt and end of the wait of a request in phase `waiting_owner`.
    time_point m_retry_at = time_point::max();
    time_point m_wait_until{};

    /// Location of the slice at the latest routing attempt.
    slice_location m_attempted_location;

    request_claim m_claim;

    /// Whether the caller or the entry node no longer waits. The request stays open for the outcome
    /// that its claim stores.
    bool m_abandoned = false;

    /// Time of the request's entry in `routing_state::m_timers`.
    time_point m_timer_at = time_point::max();
};

/// A dispatch or forward whose end the runtime has not reported.
struct open_attempt
{
    /// Whether the attempt was dispatched to the local backend server; otherwise it was forwarded
    /// to `m_to`.
    bool m_is_local = false;
    member_id m_to;
    std::string m_service;
    owned_slice m_slice;
    time_point m_started{};
    time_point m_deadline{};
    bool m_is_hedge = false;
    bool m_cancelled = false;

    /// Whether the request no longer waits for this attempt, which then only occupies its slot.
    bool m_detached = false;
};

} // namespace azureladder::core
