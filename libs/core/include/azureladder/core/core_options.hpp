#pragma once

#include <azureladder/base/time.hpp>

#include <cstddef>
#include <cstdint>

namespace azureladder::core {

/// Timings and limits of the reducer. All nodes of a cluster must use the same lease values.
struct core_options
{
    /// Interval between lease requests to the same witness.
    duration m_lease_interval = milliseconds(200);

    /// Validity of a lease grant, measured by the witness from receipt of the request.
    duration m_lease_duration = milliseconds(600);

    /// Largest difference between the clock rates of two VMs, in parts per thousand.
    std::uint32_t m_clock_rate_error_permille = 20;

    /// Longest pause between the last lease check and the write to the backend server. A new owner
    /// of a slice waits for this time when the backend servers of the service ignore fencing
    /// tokens.
    duration m_max_send_delay = milliseconds(100);

    /// Interval between `timer_tick` events while any operation is in progress.
    duration m_tick_interval = milliseconds(20);

    /// Interval between lease rounds while a new plan version is not active. It applies for at most
    /// one `m_lease_interval`.
    duration m_activation_interval = milliseconds(40);

    /// Longest interval between `timer_tick` events. It is well below half the lease duration, so
    /// that the witness role does not take it for a pause of the process.
    duration m_idle_tick_interval = milliseconds(100);

    /// Number of witnesses in each plan.
    std::size_t m_witness_count = 3;

    /// Number of standbys in each plan.
    std::size_t m_standby_count = 2;

    /// Interval between retransmissions of an unacknowledged message.
    duration m_resend_interval = milliseconds(200);

    /// Interval between periodic reads of the store by the polling nodes.
    duration m_store_poll_interval = seconds(1);

    /// Interval between attempts to acquire slices without an owner or to balance slices.
    duration m_balance_interval = milliseconds(500);

    /// Number of store values over which plans, and the slices of each space, are sharded. The node
    /// that creates the key `cluster` writes them. More shards reduce write conflicts in a large
    /// fleet.
    std::uint32_t m_plan_shards = 4;
    std::uint32_t m_slice_shards = 4;

    /// Time without a response after which a witness or standby is replaced. It is longer than the
    /// lease, so that a short loss of messages changes no plan.
    duration m_member_loss_timeout = milliseconds(1500);

    /// Time for which an unresponsive member is not selected as a witness or standby again.
    duration m_member_avoid_duration = seconds(20);

    /// Longest gap between two ticks after which the node keeps its incarnation. It is shorter than
    /// the wait before slices of superseded incarnations are adopted (5 s).
    duration m_max_tick_gap = seconds(4);

    /// Time without an announcement after which the backend server is considered lost.
    duration m_backend_loss_timeout = seconds(3);

    /// Longest wait of a move for the plan version that names its receiver. The slice is served
    /// meanwhile, so the limit only bounds how long an unsuitable receiver stays selected.
    duration m_move_timeout = seconds(5);

    /// Time after which a planned stop ends although some slices could not be released.
    duration m_release_timeout = seconds(10);

    /// Upper limit of the backoff between store operations after a failure.
    duration m_max_store_backoff = seconds(2);

    /// Largest number of slices, other than claim slices, that one node may gain by balance moves
    /// in each balance interval.
    std::size_t m_max_moves_per_interval = 1;

    /// Retention time of the claim of a non-idempotent request.
    duration m_claim_retention = seconds(600);

    /// Largest number of claims kept for each slice. A full table refuses further claims.
    std::size_t m_claims_per_slice = 4096;

    /// Largest reply body kept with a claim for replay, in bytes.
    std::size_t m_max_claim_body_bytes = 4096;

    /// Largest number of queued requests for each slot of the backend server.
    std::size_t m_queue_per_slot = 4;

    /// Budgets of retries and hedges, each in parts per thousand of recent requests.
    std::uint32_t m_retry_budget_permille = 100;
    std::uint32_t m_hedge_budget_permille = 50;
};

} // namespace azureladder::core
