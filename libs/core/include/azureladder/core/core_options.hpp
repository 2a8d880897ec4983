#pragma once

#include <azureladder/base/time.hpp>

#include <cstddef>
#include <cstdint>

namespace azureladder::core {

/// Timings and limits of the reducer. All nodes of a cluster must use the same lease values.
struct core_options
{
    /// Time between two lease requests to the same witness.
    duration m_lease_interval = milliseconds(200);

    /// Time for which a witness grant holds, counted by the witness from its receipt.
    duration m_lease_duration = milliseconds(600);

    /// Largest difference between the clock rates of two VMs, in parts per thousand.
    std::uint32_t m_clock_rate_error_permille = 20;

    /// Longest pause between the last lease check and the write to the backend server. A new owner
    /// of a slice waits for it when the backend servers of the service ignore fencing tokens.
    duration m_max_send_delay = milliseconds(100);

    /// Time between two `timer_tick` events while anything is in progress.
    duration m_tick_interval = milliseconds(20);

    /// Time between lease rounds while a new plan version is not active, for one regular interval.
    duration m_activation_interval = milliseconds(40);

    /// Longest time between two `timer_tick` events. Well below half the lease duration, so that it
    /// is not taken for a pause.
    duration m_idle_tick_interval = milliseconds(100);

    /// Witnesses of each plan.
    std::size_t m_witness_count = 3;

    /// Standbys of each plan.
    std::size_t m_standby_count = 2;

    /// Time between two sends of a message that waits for its acknowledgement.
    duration m_resend_interval = milliseconds(200);

    /// Time between two periodic reads of the store by the nodes that poll it.
    duration m_store_poll_interval = seconds(1);

    /// Time between two attempts to acquire unowned slices or to balance slices.
    duration m_balance_interval = milliseconds(500);

    /// Store values over which plans and the slices of each space are spread, used by the node that
    /// creates the key `cluster`. Many values keep writes of a large fleet apart.
    std::uint32_t m_plan_shards = 4;
    std::uint32_t m_slice_shards = 4;

    /// Time without a message after which a witness or standby is replaced. Longer than the lease,
    /// so that a short loss of messages changes no plan.
    duration m_member_loss_delay = milliseconds(1500);

    /// Time for which a member that did not answer is not chosen again.
    duration m_avoid_time = seconds(20);

    /// Longest gap between two ticks after which the node keeps its incarnation. Shorter than the
    /// wait before slices of replaced processes are adopted (5 s).
    duration m_pause_limit = seconds(4);

    /// Time without an announcement after which a backend server counts as lost.
    duration m_backend_loss_delay = seconds(3);

    /// Time for which a move waits for the plan that names its receiver. The slice is served
    /// meanwhile, so that the time only bounds how long an unsuitable receiver is kept.
    duration m_move_timeout = seconds(5);

    /// Time after which a planned stop ends although slices could not be released.
    duration m_release_timeout = seconds(10);

    /// Longest wait between two attempts to reach the store.
    duration m_store_backoff_limit = seconds(2);

    /// Slices that one node may gain by a balancing move in each balance interval.
    std::size_t m_moves_per_interval = 1;

    /// Time for which the claim of a non-idempotent request is kept.
    duration m_claim_retention = seconds(600);

    /// Claims kept for each slice. A full table refuses further claims.
    std::size_t m_claims_per_slice = 4096;

    /// Largest reply body kept with a claim for replay, in bytes.
    std::size_t m_claim_body_bytes = 4096;

    /// Waiting requests for each slot of the backend server.
    std::size_t m_queue_per_slot = 4;

    /// Retries and hedges that may be added, each in parts per thousand of recent requests.
    std::uint32_t m_retry_budget_permille = 100;
    std::uint32_t m_hedge_budget_permille = 50;
};

} // namespace azureladder::core
