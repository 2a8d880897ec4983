#pragma once

#include <azureladder/base/executed.hpp>
#include <azureladder/base/ids.hpp>
#include <azureladder/base/request_class.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/core/plan.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Messages between nodes that the reducer handles. docs/design.md, sections 3, 4, 5 and 8, gives
/// their meaning. Each message travels in an envelope that names the sending member.
namespace azureladder::core {

/// Asks a witness for a lease of the sender.
struct lease_request
{
    plan_version m_plan_version = 0;

    /// Incarnation of the witness that is meant; a restarted witness refuses it.
    incarnation_id m_witness = 0;
    std::uint64_t m_sequence = 0;
    revision_number m_revision = 0;

    /// Digest of the plans and slice locations that the sender knows; zero when it is the one that
    /// an earlier request stated. Only requests that state it carry the sender's address.
    std::uint64_t m_directory_digest = 0;
};

/// Grants the lease asked for by the request with the same sequence.
struct lease_grant
{
    plan_version m_plan_version = 0;
    std::uint64_t m_sequence = 0;
    revision_number m_revision = 0;

    /// Zero when it equals the digest that the holder stated last.
    std::uint64_t m_directory_digest = 0;
};

enum class lease_refusal_reason
{
    fenced,         // the witness has promised not to grant to this incarnation again
    stale_revision, // the sender must install the witness's configuration first
    unknown_member, // the request names another incarnation of the witness
    not_a_witness,  // no known plan of the sender names the receiver as a witness
};

inline constexpr enum_name<lease_refusal_reason> lease_refusal_reason_names[] = {
    {lease_refusal_reason::fenced, "fenced"},
    {lease_refusal_reason::stale_revision, "stale_revision"},
    {lease_refusal_reason::unknown_member, "unknown_member"},
    {lease_refusal_reason::not_a_witness, "not_a_witness"},
};

struct lease_refusal
{
    lease_refusal_reason m_reason = lease_refusal_reason::fenced;
    std::uint64_t m_sequence = 0;
    revision_number m_revision = 0;

    /// Incarnation of the witness that the refused request named; zero when not applicable.
    incarnation_id m_requested_witness = 0;
};

/// Promise of the sender never to grant a lease to `m_member` again. `m_plan_version` is the
/// highest version under which the sender granted one.
struct fence_promise
{
    member_ref m_member;
    plan_version m_plan_version = 0;
};

struct fence_ack
{
    member_ref m_member;
};

/// Announces a configuration revision and asks for an acknowledgement once it is installed.
struct revision_probe
{
    revision_number m_revision = 0;
};

struct revision_ack
{
    revision_number m_revision = 0;
};

/// Announces the owner of slices after a change.
struct owner_notice
{
    member_ref m_owner;
    std::vector<owned_slice> m_slices;
};

enum class claim_state
{
    in_progress,
    executed,
    unknown
};

inline constexpr enum_name<claim_state> claim_state_names[] = {
    {claim_state::in_progress, "in_progress"},
    {claim_state::executed, "executed"},
    {claim_state::unknown, "unknown"},
};

/// Remembered id of a non-idempotent request.
struct claim
{
    slice_id m_slice;

    /// "service/idempotency key" of the request.
    std::string m_key;
    claim_state m_state = claim_state::in_progress;

    /// Age when the message was sent; the receiver keeps the claim for the rest of the retention.
    duration m_age{0};

    /// Kept reply; only in state `executed` and only when the body fits.
    bool m_has_reply = false;
    int m_status = 0;
    std::string m_content_type;
    std::string m_body;
};

/// Gives the slices of the sender's plan to the receiving standby; the sender never serves them
/// again under that plan.
struct release
{
    plan_version m_plan_version = 0;
    std::vector<owned_slice> m_slices;
    std::vector<claim> m_claims;
};

struct release_ack
{
    plan_version m_plan_version = 0;

    /// Slices that the receiver has not taken and, in this incarnation, will never take by a
    /// release under this version or an earlier one. The sender may serve them again.
    std::vector<owned_slice> m_refused;
};

/// Asks the owner of a claim slice whether a non-idempotent request may be dispatched.
struct claim_request
{
    std::uint64_t m_token = 0;
    slice_id m_slice;
    std::string m_key;
};

enum class claim_verdict
{
    proceed,
    replay,
    in_progress,
    unknown,
    refused,
    not_serving // the slice leaves this node; another one answers soon
};

inline constexpr enum_name<claim_verdict> claim_verdict_names[] = {
    {claim_verdict::proceed, "proceed"},         {claim_verdict::replay, "replay"},
    {claim_verdict::in_progress, "in_progress"}, {claim_verdict::unknown, "unknown"},
    {claim_verdict::refused, "refused"},         {claim_verdict::not_serving, "not_serving"},
};

struct claim_reply
{
    std::uint64_t m_token = 0;
    claim_verdict m_verdict = claim_verdict::refused;

    /// Kept reply for `replay`.
    int m_status = 0;
    std::string m_content_type;
    std::string m_body;
};

/// Reports the outcome of a claimed request to the owner of the claim slice, until that owner
/// acknowledges it.
struct claim_result
{
    /// Token of the request in its entry node.
    std::uint64_t m_token = 0;
    claim m_claim;
    executed m_executed = executed::unknown;
};

struct claim_result_ack
{
    std::uint64_t m_token = 0;
};

/// Copies a claim to the standby of its slice.
struct claim_copy
{
    std::uint64_t m_sequence = 0;
    claim m_claim;

    /// True when the claim is withdrawn because its request was not executed.
    bool m_withdrawn = false;
};

struct claim_copy_ack
{
    std::uint64_t m_sequence = 0;
};

/// States that the sender has copied all claims of a slice to the receiving standby.
struct claim_baseline
{
    owned_slice m_slice;
};

/// Asks for the configuration document when it is newer than `m_known_revision`.
struct config_pull
{
    revision_number m_known_revision = 0;
};

/// Carries the JSON text of a configuration document.
struct config_push
{
    revision_number m_revision = 0;
    std::string m_document;
};

/// Asks for plans and slice locations.
struct table_pull
{
    /// Digest of each bucket of the sender's directory; the answer leaves out equal buckets. Empty
    /// asks for everything that the receiver keeps, with former versions of plans.
    std::vector<std::uint64_t> m_bucket_digests;
};

/// Carries all plans and slice locations that the sender knows.
struct table_push
{
    std::vector<plan> m_plans;
    std::vector<std::pair<owned_slice, member_ref>> m_locations;
};

using message =
    std::variant<lease_request, lease_grant, lease_refusal, fence_promise, fence_ack,
                 revision_probe, revision_ack, owner_notice, release, release_ack, claim_request,
                 claim_reply, claim_result, claim_result_ack, claim_copy, claim_copy_ack,
                 claim_baseline, config_pull, config_push, table_pull, table_push>;

} // namespace azureladder::core
