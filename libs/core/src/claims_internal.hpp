#pragma once

#include <azureladder/core/claims.hpp>
#include <azureladder/core/node_state.hpp>

#include <optional>
#include <string>

/// Internal functions of the claims module, and the functions that the routing module calls for the
/// requests of this node.
namespace azureladder::core {

/// State, time and output of the event being handled.
struct claims_context
{
    node_state& m_state;
    time_point m_now;
    effects& m_output;
};

/// Request that claims an idempotency key.
struct claim_holder
{
    member_id m_member;
    std::uint64_t m_token = 0;

    /// Address for the reply; unused for requests of this node.
    endpoint m_reply_to;
};

/// A claim in progress becomes `unknown` after this time, because its entry node is assumed lost.
inline constexpr duration claim_in_progress_timeout = seconds(60);

/// Time within which a standby must acknowledge the copy of a new claim.
inline constexpr duration copy_acknowledgement_timeout = seconds(1);

/// Longest interval between two sends of an unacknowledged copy.
inline constexpr duration max_copy_interval = seconds(2);

/// Copies sent in one tick, so that the copies for a new standby do not block the node.
inline constexpr std::size_t max_copies_per_tick = 256;

/// `claim_baseline` is not acknowledged, so it is resent, at first after 5 s and then at intervals
/// that double up to 60 s. A fixed interval of 5 s would take a third of the control traffic budget
/// with the 104 slices of a node at the target size.
inline constexpr duration initial_baseline_interval = seconds(5);
inline constexpr duration max_baseline_interval = seconds(60);
inline constexpr duration claim_expiry_interval = seconds(1);

// claims.cpp

/// Claims `key` for `holder`. The result is unset while the standby has not acknowledged the copy;
/// the reply then follows as a message or, for requests of this node, in `m_local_verdicts`. The
/// node must serve the slice.
std::optional<claim_reply> begin_claim(claims_context& context, const slice_id& slice,
                                       const std::string& key, const claim_holder& holder);

/// Stores the outcome of a claimed request that `member` reported.
void finish_claim(claims_context& context, const member_id& member, const claim_result& result);

// claims_results.cpp

/// Stores the outcome of a request of this node, or sends it to the owner of the claim slice until
/// that owner acknowledges it.
void report_outcome(claims_context& context, const claim_result& result);
void resend_results(claims_context& context);
void handle_result(claims_context& context, const message_received& input,
                   const claim_result& result);

// claims_copies.cpp

/// Standby of a slice in this node's plan; null when the plan has none.
const member_id* successor_of(const node_state& state, const slice_id& slice);

/// Copies a claim to the standby and resends it until it is acknowledged.
void copy_claim(claims_context& context, const slice_id& slice, const std::string& key,
                bool withdrawn);
void handle_copy(claims_context& context, const message_received& input, const claim_copy& copy);
void handle_copy_ack(claims_context& context, const member_id& from, const claim_copy_ack& ack);
void handle_baseline(claims_context& context, const member_id& from,
                     const claim_baseline& baseline);
void resend_copies(claims_context& context);
void send_baselines(claims_context& context);
void drop_stale_baselines(claims_context& context);

/// Replies to a claim that waited for the standby's acknowledgement.
void send_claim_reply(claims_context& context, const stored_claim& stored, const endpoint& reply_to,
                      claim_verdict verdict);

// claims_transfer.cpp

/// Claim without a key that marks the claims of the slice as incomplete; unset when they are
/// complete. It is transferred with the claims, so that the next owner also answers keys that are
/// not stored with `unknown`.
std::optional<claim> incomplete_marker(const node_state& state, const slice_id& slice,
                                       time_point now);

/// Changes claims that are in progress for too long to `unknown` and removes claims past their
/// retention.
void expire_claims(claims_context& context);
void import_claim(node_state& state, const claim& value, time_point now);

} // namespace azureladder::core
