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
struct routing_context
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
inline constexpr duration attempt_report_timeout = milliseconds(100);

/// Time after its deadline at which the slot of an unreported attempt is released.
inline constexpr duration unreported_attempt_timeout = seconds(5);

/// Value of Retry-After in answers with status 503.
inline constexpr duration retry_after_delay = milliseconds(200);

// routing_arrival.cpp
void handle_arrival(routing_context& context, const request_arrived& input);
bool is_divided(const open_request& request);

// routing_choice.cpp

/// Forwards the request to the node that serves it, queues it on this node, holds it or answers it.
void route_request(routing_context& context, request_token token);

/// Queues the request for the local backend server, after claiming its idempotency key if needed.
void admit_locally(routing_context& context, request_token token);

/// Holds a request of an entry node until an owner or upstream is available, or answers it with
/// `code`.
void wait_for_owner(routing_context& context, request_token token, error_code code);

/// Routes waiting requests again whose owner changed or whose delay has passed.
void retry_waiting_requests(routing_context& context);

/// Schedules the hedge of a request that may be hedged.
void schedule_hedge(routing_context& context, open_request& request);
void forward_attempt(routing_context& context, request_token token, const upstream_address& target,
                     bool hedge);

// routing_candidates.cpp
const std::vector<upstream_address>& candidates_for(routing_context& context,
                                                    const std::string& service);

/// Selects an upstream for an attempt; null when there is none. Nodes that an attempt was already
/// sent to are excluded unless `allow_attempted` is set.
const upstream_address* choose_upstream(routing_context& context, const open_request& request,
                                        bool allow_attempted);

// routing_claims.cpp

/// Whether this node must claim the idempotency key of the request before it dispatches or forwards
/// the request.
bool needs_claim(const node_state& state, const open_request& request);
void start_claim(routing_context& context, request_token token, const slice_id& slice);
void send_claim_request(routing_context& context, request_token token);
void handle_claim_reply(routing_context& context, std::uint64_t token, const claim_reply& reply);
void handle_local_claim_replies(routing_context& context);

/// Reports the outcome of a claimed request to the owner of the claim slice.
void complete_claim(routing_context& context, request_token token, const open_request& request,
                    executed outcome, const attempt_finished* reply);

// routing_backend.cpp
void handle_announcement(routing_context& context, const backend_announced& input);
bool backend_ready(const node_state& state, time_point now);

/// Whether the availability zone and the backend server of this node are in service.
bool zone_and_server_in_service(const node_state& state);

/// Reason why the request may not be dispatched to the local backend server; unset when it may.
/// `is_new` applies the checks for requests that are not queued yet.
std::optional<error_code> local_refusal_reason(const routing_context& context,
                                               const open_request& request, bool is_new);
void enqueue(routing_context& context, request_token token);
void dispatch_locally(routing_context& context, request_token token, bool hedge);
void dispatch_queued(routing_context& context);
void fail_unservable_requests(routing_context& context);
void cancel_attempts_without_lease(routing_context& context);
void detect_return_to_service(routing_context& context);
void record_local_outcome(routing_context& context, const open_attempt& attempt,
                          const attempt_finished& input);

// routing_attempts.cpp
void handle_attempt_finished(routing_context& context, const attempt_finished& input);

/// Handles an attempt that ended without a reply: retries the request or answers it.
/// `not_executed` is set when it is proven that the attempt was not executed.
void handle_attempt_failure(routing_context& context, request_token token, error_code code,
                            bool not_executed);

/// Whether a failed request may be retried.
bool may_retry(const open_request& request, bool not_executed);
std::size_t open_attempt_count(const node_state& state, request_token token);
void hedge_request(routing_context& context, request_token token);

// routing_timers.cpp
void schedule_timer(routing_context& context, request_token token);
void run_due_timers(routing_context& context);
void expire_unreported_attempts(routing_context& context);
void update_upstream_stats(routing_context& context);
void handle_abandoned(routing_context& context, request_token token);

// routing_answers.cpp
void answer_reply(routing_context& context, const attempt_finished& input);
void answer_replay(routing_context& context, request_token token, const claim_reply& reply);

/// Answers with `code`, or with the error of an attempt that may have been executed.
void answer_error(routing_context& context, request_token token, error_code code,
                  const std::string& text);
void write_event(routing_context& context, log_level level, const char* name, json fields);
std::string key_hash_text(const std::string& key);

// Shared by all parts.
open_request* find_request(node_state& state, request_token token);
service_stats& stats_of(node_state& state, const std::string& service);

} // namespace azureladder::core
