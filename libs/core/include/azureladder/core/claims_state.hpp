#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/core/messages.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace azureladder::core {

/// A claim as its owner or a standby keeps it.
struct kept_claim
{
    claim m_claim;
    time_point m_created{};

    /// Node and token that may proceed; the node is empty for claims received from an owner.
    member_ref m_holder;
    std::uint64_t m_token = 0;
};

/// Claims of one slice.
struct claim_table
{
    std::map<std::string, kept_claim> m_claims;

    /// Until then claims may be missing, so unseen keys are answered `unknown`.
    time_point m_lost_until{};
};

/// A claim that a standby has not acknowledged.
struct pending_copy
{
    std::uint64_t m_sequence = 0;

    /// Sequence of the oldest unacknowledged copy of this claim.
    std::uint64_t m_first_sequence = 0;
    member_ref m_to;
    bool m_withdrawn = false;

    /// The request may not proceed before the acknowledgement.
    bool m_gate = false;

    /// Where the verdict of a gated claim goes; unset for requests of this node.
    endpoint m_reply_to;
    time_point m_started{};
    time_point m_next_send{};
    duration m_interval{0};
};

/// Announcement to a standby that it has all claims of a slice.
struct pending_baseline
{
    member_ref m_to;
    epoch_number m_epoch = 0;

    /// Copies up to this sequence must be acknowledged first.
    std::uint64_t m_barrier = 0;
    time_point m_next_send{};
    duration m_interval{0};
};

/// Outcome of a request of this node that the owner of its claim has not acknowledged.
struct pending_result
{
    claim_result m_result;
    time_point m_started{};
    time_point m_next_send{};
    duration m_interval{0};
};

/// Verdict for a request of this node.
struct local_verdict
{
    std::uint64_t m_token = 0;
    claim_reply m_reply;
};

struct claims_state
{
    std::map<slice_id, claim_table> m_tables;
    std::map<std::pair<slice_id, std::string>, pending_copy> m_copies;
    std::map<slice_id, pending_baseline> m_baselines;
    std::uint64_t m_last_sequence = 0;

    /// By token of the request.
    std::map<std::uint64_t, pending_result> m_results;

    /// As standby: member and epoch whose claims this node has completely.
    std::map<slice_id, std::pair<member_ref, epoch_number>> m_received_baselines;

    /// Verdicts that the routing module has not taken yet.
    std::vector<local_verdict> m_local_verdicts;
    time_point m_next_cleanup{};
};

} // namespace azureladder::core
