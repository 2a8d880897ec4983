#pragma once

#include <azureladder/core/effects.hpp>
#include <azureladder/core/events.hpp>
#include <azureladder/core/node_state.hpp>
#include <azureladder/records/document.hpp>

#include <optional>
#include <string>
#include <vector>

/// Internal functions of the routing module. Functions that may answer a request take its token,
/// because a reference to an `open_request` is invalid after the answer.
namespace azureladder::core {

/// State, time and output of the event being handled.
struct routing_step
{
    node_state& m_state;
    time_point m_now;
    effects& m_output;
};

/// Longest timeout that a caller may request.
inline constexpr duration max_timeout = seconds(600);

/// Maximum length of a request's key in bytes.
inline constexpr std::size_t max_key_bytes = 512;

/// Time for which an entry node holds a request without an owner instead of failing it. A takeover
/// takes up to 1 s.
inline constexpr duration max_owner_wait = milliseconds(1500);
inline constexpr duration owner_retry_delay = milliseconds(50);

/// Time for which a request waits for the outcome of an earlier request with the same idempotency
/// key, or for the next owner of its claim slice. Without the wait, a retry right after the reply
/// would be rejected, because the outcome has not reached the owner yet.
inline constexpr duration max_claim_wait = seconds(1);
inline constexpr duration claim_retry_delay = milliseconds(50);

/// Maximum number of requests that wait for an owner, and of requests with claims. Bounds the
/// memory while an owner is lost.
inline constexpr std::size_t max_waiting_requests = 1024;

/// Retries of one request, provided that the retry budget allows them.
inline constexpr std::uint32_t max_retries = 3;

/// Requests are dispatched only within this time after an announcement of the backend server, which
/// repeats it each second.
inline constexpr duration announcement_timeout = seconds(3);

/// Time after the deadline or cancellation of an attempt for the runtime to report its end, which
/// may prove that nothing was sent. Without a report the attempt then counts as lost.
inline constexpr duration report_delay = milliseconds(100);

/// Time after its deadline at which the slot of an unreported attempt is released.
inline constexpr duration report_grace = seconds(5);

/// Value of Retry-After in answers with status 503.
inline constexpr duration suggested_retry_delay = milliseconds(200);

// routing_arrival.cpp
void handle_arrival(routing_step& step, const request_arrived& input);
bool is_divided(const open_request& request);

// routing_choice.cpp

/// Forwards the request to the node that serves it, queues it on this node, holds it or answers it.
void route_request(routing_step& step, request_token token);

/// Queues the request for the local backend server, after claiming its idempotency key if needed.
void admit_locally(routing_step& step, request_token token);

/// Holds a request of an entry node until an owner or upstream is available, or answers it with
/// `code`.
void wait_for_owner(routing_step& step, request_token token, error_code code);

/// Routes waiting requests again whose owner changed or whose delay has passed.
void retry_waiting(routing_step& step);

/// Schedules the hedge of a request that may be hedged.
void arm_hedge(routing_step& step, open_request& request);
void forward_attempt(routing_step& step, request_token token, const upstream_address& target,
                     bool hedge);

// routing_candidates.cpp
const std::vector<upstream_address>& candidates_for(routing_step& step, const std::string& service);

/// Selects an upstream for an attempt; null when there is none. Nodes that an attempt was already
/// sent to are excluded unless `allow_tried` is set.
const upstream_address* choose_upstream(routing_step& step, const open_request& request,
                                        bool allow_tried);

// routing_claims.cpp

/// Whether this node must claim the idempotency key of the request before it dispatches or forwards
/// the request.
bool needs_claim(const node_state& state, const open_request& request);
void start_claim(routing_step& step, request_token token, const slice_id& slice);
void ask_claim_owner(routing_step& step, request_token token);
void handle_claim_reply(routing_step& step, std::uint64_t token, const claim_reply& reply);
void take_local_verdicts(routing_step& step);

/// Reports the outcome of a claimed request to the owner of the claim slice.
void settle_claim(routing_step& step, request_token token, const open_request& request,
                  executed outcome, const attempt_finished* reply);

// routing_backend.cpp
void handle_announcement(routing_step& step, const backend_announced& input);
bool backend_ready(const node_state& state, time_point now);

/// Whether the availability zone and the backend server of this node are in service.
bool scope_in_service(const node_state& state);

/// Reason why the request may not be dispatched to the local backend server; unset when it may.
/// `is_new` applies the checks for requests that are not queued yet.
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

/// Handles an attempt that ended without a reply: retries the request or answers it. `proven` is
/// set when the attempt is proven not to have been executed.
void handle_attempt_failure(routing_step& step, request_token token, error_code code, bool proven);

/// Whether a failed request may be retried.
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

/// Answers with `code`, or with the error of an attempt that may have been executed.
void answer_error(routing_step& step, request_token token, error_code code,
                  const std::string& text);
void write_event(routing_step& step, log_level level, const char* name, json fields);
std::string key_hash_text(const std::string& key);

// Shared by all parts.
open_request* find_request(node_state& state, request_token token);
service_measure& measure_of(node_state& state, const std::string& service);

} // namespace azureladder::core
