#pragma once

#include <azureladder/core/effects.hpp>
#include <azureladder/core/events.hpp>
#include <azureladder/core/node_state.hpp>
#include <azureladder/records/document.hpp>

#include <optional>
#include <string>
#include <vector>

/// Parts of the routing module. Functions that may answer a request take its token: the reference
/// to an `open_request` is invalid after the answer.
namespace azureladder::core {

/// One event in progress.
struct routing_step
{
    node_state& m_state;
    time_point m_now;
    effects& m_output;
};

/// Longest timeout that a caller may ask for.
inline constexpr duration max_timeout = seconds(600);

/// Longest key of a request in bytes.
inline constexpr std::size_t max_key_bytes = 512;

/// A takeover takes up to 1 s; an entry node holds requests a little longer instead of failing
/// them.
inline constexpr duration max_owner_wait = milliseconds(1500);
inline constexpr duration owner_retry_delay = milliseconds(50);

/// Wait for the outcome of an earlier request with the same idempotency key, or for the next owner
/// of its claim slice. Without it a repeat right after the reply was rejected, because the outcome
/// had not reached the owner.
inline constexpr duration max_claim_wait = seconds(1);
inline constexpr duration claim_retry_delay = milliseconds(50);

/// Requests that may wait for an owner at once, and requests with claims, so that a lost owner
/// cannot exhaust the memory.
inline constexpr std::size_t max_waiting_requests = 1024;

/// Attempts of one request within the retry budget, after the first.
inline constexpr std::uint32_t max_retries = 3;

/// The backend server announces itself each second; after this silence nothing is dispatched.
inline constexpr duration announcement_timeout = seconds(3);

/// Time after its deadline or cancellation in which the runtime reports how an attempt ended, which
/// may prove that nothing was sent; then the request goes on without the report.
inline constexpr duration report_delay = milliseconds(100);

/// Time after its deadline at which an attempt that was never reported gives its slot back.
inline constexpr duration report_grace = seconds(5);

inline constexpr duration suggested_retry_delay = milliseconds(200);

// routing_arrival.cpp
void handle_arrival(routing_step& step, const request_arrived& input);
bool is_divided(const open_request& request);

// routing_choice.cpp

/// Sends the request to the node that may serve it, queues it, or answers it.
void route_request(routing_step& step, request_token token);

/// Queues the request for the backend server beside the node, after its claim when it needs one.
void admit_locally(routing_step& step, request_token token);

/// Holds an entry node's request until the owner of its slice may be known, or answers it.
void wait_for_owner(routing_step& step, request_token token, error_code code);

/// Tries waiting requests whose owner changed or whose delay has passed.
void retry_waiting(routing_step& step);

/// Plans a second attempt for a request that may be hedged.
void arm_hedge(routing_step& step, open_request& request);
void forward_attempt(routing_step& step, request_token token, const upstream_address& target,
                     bool hedge);

// routing_candidates.cpp
const std::vector<upstream_address>& candidates_for(routing_step& step, const std::string& service);

/// Chooses an upstream that was not tried; null when there is none.
const upstream_address* choose_upstream(routing_step& step, const open_request& request,
                                        bool allow_tried);

// routing_claims.cpp

/// Whether the request must be claimed by this node before it is dispatched or forwarded.
bool needs_claim(const node_state& state, const open_request& request);
void start_claim(routing_step& step, request_token token, const slice_id& slice);
void ask_claim_owner(routing_step& step, request_token token);
void handle_claim_reply(routing_step& step, std::uint64_t token, const claim_reply& reply);
void take_local_verdicts(routing_step& step);

/// Reports the outcome of a claimed request to the owner of its claim.
void settle_claim(routing_step& step, request_token token, const open_request& request,
                  executed outcome, const attempt_finished* reply);

// routing_backend.cpp
void handle_announcement(routing_step& step, const backend_announced& input);
bool backend_ready(const node_state& state, time_point now);
bool scope_in_service(const node_state& state);

/// Why a request may not be dispatched to the backend server beside the node; unset when it may.
std::optional<error_code> local_refusal(const routing_step& step, const open_request& request,
                                        bool is_new);
void enqueue(routing_step& step, request_token token);
void dispatch_now(routing_step& step, request_token token, bool hedge);
void dispatch_queued(routing_step& step);
void flush_unservable(routing_step& step);
void cancel_without_lease(routing_step& step);
void detect_return_to_service(routing_step& step);
void note_local_outcome(routing_step& step, const open_attempt& attempt,
                        const attempt_finished& input);

// routing_attempts.cpp
void handle_attempt_finished(routing_step& step, const attempt_finished& input);

/// Handles an attempt that ended without a reply. `proven` states that it was not executed.
void handle_attempt_failure(routing_step& step, request_token token, error_code code, bool proven);

/// Whether a failed request may be sent again at all.
bool may_repeat(const open_request& request, bool proven);
std::size_t open_attempt_count(const node_state& state, request_token token);
void hedge_request(routing_step& step, request_token token);

// routing_timers.cpp
void arm(routing_step& step, request_token token);
void run_due_timers(routing_step& step);
void expire_attempts(routing_step& step);
void measure_upstreams(routing_step& step);
void handle_abandoned(routing_step& step, request_token token);

// routing_answers.cpp
void answer_reply(routing_step& step, const attempt_finished& input);
void answer_replay(routing_step& step, request_token token, const claim_reply& reply);

/// Answers with `code`, or with the code of an attempt that may have been executed.
void answer_error(routing_step& step, request_token token, error_code code,
                  const std::string& text);
void write_event(routing_step& step, log_level level, const char* name, json fields);
std::string key_hash_text(const std::string& key);

// Shared by all parts.
open_request* find_request(node_state& state, request_token token);
service_measure& measure_of(node_state& state, const std::string& service);

} // namespace azureladder::core
