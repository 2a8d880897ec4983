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

/// Messages between nodes that the reducer handles; docs/design.md, sections 3, 4, 5 and 8. Each
/// message travels in an envelope that names the sending member.
namespace azureladder::core {

/// Requests a lease for the sender from a witness.
struct lease_request
{
    plan_version m_plan_version = 0;

    /// Incarnation of the addressed witness. A restarted witness refuses the request.
    incarnation_id m_witness = 0;
    std::uint64_t m_sequence = 0;
    revision_number m_revision = 0;

    /// Digest of the sender's directory; zero when it equals the digest of an earlier request. Only
    /// requests with a digest carry the sender's address.
    std::uint64_t m_directory_digest = 0;
};

/// Grants the lease of the request with the same sequence number.
struct lease_grant
{
    plan_version m_plan_version = 0;
    std::uint64_t m_sequence = 0;
    revision_number m_revision = 0;

    /// Digest of the witness's directory; zero when it equals the digest that the holder sent last.
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

    /// Witness incarnation in the refused request; zero unless the reason is `unknown_member`.
    incarnation_id m_requested_witness = 0;
};

/// Promise of the sender never to grant a lease to `m_member` again. `m_plan_version` is the
/// highest version under which the sender granted a lease to it.
struct fence_promise
{
    member_id m_member;
    plan_version m_plan_version = 0;
};

struct fence_ack
{
    member_id m_member;
};

/// Announces a configuration revision and requests an acknowledgement once it is installed.
struct revision_probe
{
    revision_number m_revision = 0;
};

struct revision_ack
{
    revision_number m_revision = 0;
};

/// Announces the new owner of slices.
struct owner_notice
{
    member_id m_owner;
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

/// Idempotency key of a non-idempotent request, with the outcome of its execution.
struct claim
{
    slice_id m_slice;

    /// "service/idempotency key" of the request.
    std::string m_key;
    claim_state m_state = claim_state::in_progress;

    /// Age at the time of sending. The receiver keeps the claim for the rest of the retention time.
    duration m_age{0};

    /// Stored reply; only in state `executed` and only when the body is within the size limit.
    bool m_has_reply = false;
    int m_status = 0;
    std::string m_content_type;
    std::string m_body;
};

/// Transfers slices of the sender's plan to the receiving standby. The sender never serves them
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

    /// Slices of which the receiver has not become the owner. Its incarnation accepts no release of
    /// them under this version or an earlier one, so the sender may serve them again.
    std::vector<owned_slice> m_refused;
};

/// Requests permission to dispatch a non-idempotent request from the owner of its claim slice.
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

    /// Stored reply; set for the verdict `replay`.
    int m_status = 0;
    std::string m_content_type;
    std::string m_body;
};

/// Reports the outcome of a claimed request to the owner of the claim slice. It is sent again until
/// the owner acknowledges it.
struct claim_result
{
    /// Token of the request at its entry node.
    std::uint64_t m_token = 0;
    claim m_claim;
    executed m_executed = executed::unknown;
};

struct claim_result_ack
{
    std::uint64_t m_token = 0;
};

/// Replicates a claim to the standby of its slice.
struct claim_copy
{
    std::uint64_t m_sequence = 0;
    claim m_claim;

    /// Whether the claim is withdrawn because its request was not executed.
    bool m_withdrawn = false;
};

struct claim_copy_ack
{
    std::uint64_t m_sequence = 0;
};

/// Marks the end of the initial copy: the receiving standby has all claims of the slice.
struct claim_baseline
{
    owned_slice m_slice;
};

/// Requests the configuration document if it is newer than `m_known_revision`.
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

/// Requests plans and slice locations.
struct directory_pull
{
    /// Digest of each bucket of the sender's directory; the response leaves out equal buckets. An
    /// empty list requests all entries, with the earlier plan versions that the receiver keeps.
    std::vector<std::uint64_t> m_bucket_digests;
};

/// Carries plans and slice locations of the sender's directory.
struct directory_push
{
    std::vector<plan> m_plans;
    std::vector<std::pair<owned_slice, member_id>> m_locations;
};

using message =
    std::variant<lease_request, lease_grant, lease_refusal, fence_promise, fence_ack,
                 revision_probe, revision_ack, owner_notice, release, release_ack, claim_request,
                 claim_reply, claim_result, claim_result_ack, claim_copy, claim_copy_ack,
                 claim_baseline, config_pull, config_push, directory_pull, directory_push>;

} // namespace azureladder::core
