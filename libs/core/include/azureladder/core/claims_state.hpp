#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/core/messages.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace azureladder::core {

/// A claim stored by the owner or a standby of its slice.
struct stored_claim
{
    claim m_claim;
    time_point m_created{};

    /// Node and token of the request that holds the claim. The node is empty for claims received
    /// from an owner.
    member_id m_holder;
    std::uint64_t m_token = 0;
};

/// Claims of one slice.
struct claim_table
{
    std::map<std::string, stored_claim> m_claims;

    /// Time until which claims may be missing, so that keys that are not stored are answered
    /// `unknown`.
    time_point m_incomplete_until{};
};

/// A claim whose copy the standby has not acknowledged.
struct pending_copy
{
    /// Sequence number of the latest copy of this claim.
    std::uint64_t m_sequence = 0;

    /// Sequence number of the oldest unacknowledged copy of this claim.
    std::uint64_t m_first_sequence = 0;
    member_id m_to;
    bool m_withdrawn = false;

    /// Whether the request of the claim waits for the acknowledgement.
    bool m_blocks_request = false;

    /// Address for the reply to the waiting request; unset for requests of this node.
    endpoint m_reply_to;
    time_point m_started{};
    time_point m_next_send{};
    duration m_interval{0};
};

/// Message to a new standby that it has received all claims of a slice; sent when the standby has
/// acknowledged their copies.
struct pending_baseline
{
    member_id m_to;
    epoch_number m_epoch = 0;

    /// Sequence number up to which the copies of the slice must be acknowledged before the message
    /// is sent.
    std::uint64_t m_required_sequence = 0;
    time_point m_next_send{};
    duration m_interval{0};
};

/// Outcome of a request of this node that the owner of the claim slice has not acknowledged.
struct pending_result
{
    claim_result m_result;
    time_point m_started{};
    time_point m_next_send{};
    duration m_interval{0};
};

/// Reply to a claim of a request of this node.
struct local_claim_reply
{
    std::uint64_t m_token = 0;
    claim_reply m_reply;
};

/// State of the claims module.
struct claims_state
{
    std::map<slice_id, claim_table> m_tables;
    std::map<std::pair<slice_id, std::string>, pending_copy> m_copies;
    std::map<slice_id, pending_baseline> m_baselines;

    /// Sequence number of the latest copy that this node has registered.
    std::uint64_t m_last_sequence = 0;

    /// Unacknowledged outcomes by the token of the request.
    std::map<std::uint64_t, pending_result> m_results;

    /// Owner and epoch of the slices whose claims this node stores completely as their standby.
    std::map<slice_id, std::pair<member_id, epoch_number>> m_received_baselines;

    /// Replies that the routing module has not handled yet.
    std::vector<local_claim_reply> m_local_replies;
    time_point m_next_expiry{};
};

} // namespace azureladder::core
