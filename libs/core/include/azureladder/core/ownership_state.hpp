#pragma once

#include <azureladder/base/enum_names.hpp>
#include <azureladder/base/ids.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/core/directory.hpp>
#include <azureladder/core/events.hpp>
#include <azureladder/core/messages.hpp>
#include <azureladder/core/plan.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace azureladder::core {

/// Progress of the procedure by which an incarnation becomes entitled to request leases.
enum class join_phase
{
    idle,
    reading_cluster,
    reading_plans,
    writing_plan,
    joined
};

inline constexpr enum_name<join_phase> join_phase_names[] = {
    {join_phase::idle, "idle"},
    {join_phase::reading_cluster, "reading_cluster"},
    {join_phase::reading_plans, "reading_plans"},
    {join_phase::writing_plan, "writing_plan"},
    {join_phase::joined, "joined"},
};

/// Store access that an operation id stands for.
enum class store_task
{
    read_cluster,
    write_cluster,
    read_join_shard,
    read_own_plan,
    write_own_plan,
    poll_plans,
    poll_slices,
    read_table,
    write_table
};

/// A store operation of the ownership module that has not been answered.
struct store_operation
{
    store_task m_task = store_task::read_cluster;
    std::string m_key;

    /// Incarnation that started it; answers for a former incarnation are ignored.
    incarnation_id m_incarnation = 0;
    time_point m_started{};

    /// Plan version or slices that a write contains.
    plan_version m_version = 0;
    std::vector<owned_slice> m_slices;
};

/// Version of a polled key and the incarnation that learnt its value.
struct polled_version
{
    std::uint64_t m_version = 0;
    incarnation_id m_incarnation = 0;
};

/// Grant of one witness as the node sees it.
struct held_grant
{
    time_point m_valid_until{};
    plan_version m_version = 0;
};

/// Lease that this node granted as a witness.
struct granted_lease
{
    /// Highest plan version under which a lease was granted.
    plan_version m_version = 0;
    time_point m_expires{};

    /// Directory digest that the holder stated last; zero when it stated none.
    std::uint64_t m_stated_digest = 0;

    /// Set when the lease was found expired; no further lease is granted then.
    bool m_promised = false;
    time_point m_promised_at{};
    time_point m_next_send{};
    duration m_send_interval{0};
    std::set<member_ref> m_acknowledged;
};

enum class slice_phase
{
    serving,
    moving,      // still served; waits until a plan that names the receiver is active
    draining,    // no new work; waits for requests in flight
    releasing,   // drained; the release is repeated until the receiver owns the slice
    taking_back, // the receiver is fenced; this node writes the slice table entry again
};

inline constexpr enum_name<slice_phase> slice_phase_names[] = {
    {slice_phase::serving, "serving"},         {slice_phase::moving, "moving"},
    {slice_phase::draining, "draining"},       {slice_phase::releasing, "releasing"},
    {slice_phase::taking_back, "taking_back"},
};

/// A slice that this node owns.
struct held_slice
{
    epoch_number m_epoch = 0;
    slice_phase m_phase = slice_phase::serving;

    /// The slice table in the store names this incarnation and epoch.
    bool m_recorded = false;

    /// The records in effect allow this node to serve the slice.
    bool m_allowed = false;

    /// `ownership_started` has been logged without `ownership_ended`.
    bool m_announced = false;

    /// End of the wait for executions of the former owner.
    time_point m_serve_from{};

    /// Receiver of the slice in the phases `moving`, `draining` and `releasing`.
    member_ref m_target;

    /// The plan has to name the receiver, because it is not the standby of the slice.
    bool m_planned_move = false;

    /// The slice moves for balance; otherwise it leaves because this node may not keep it.
    bool m_for_balance = false;
    time_point m_phase_since{};
    time_point m_next_send{};

    /// Time at which the receiver of a release was first seen to be replaced.
    time_point m_target_replaced{};

    /// Why the node became the owner, and why it gives the slice up.
    std::string m_reason;
    std::string m_exit_reason;
};

/// A slice that this node released and whose receiver has not been seen to record it.
struct released_slice
{
    epoch_number m_epoch = 0;
    member_ref m_receiver;
};

/// Plans under which a former incarnation of this process could still be promised when it gave up
/// its slices.
struct abandoned_incarnation
{
    plan m_active;
    plan m_newest;
};

/// A change of a slice table entry that this node wants to write.
struct entry_change
{
    /// Entry that must stand in the store; the owner's node is empty for a slice never owned.
    slice_location m_expected;
    epoch_number m_epoch = 0;
    std::string m_reason;

    /// The node owns the slice already (takeover); otherwise it does after the write.
    bool m_held = false;
    bool m_claims_lost = false;

    /// The expected owner never serves again, so that the entry may also be the one that this owner
    /// took the slice from and did not replace.
    bool m_owner_lost = false;

    /// Owner of the entry that the change replaces, once the entry was read.
    member_ref m_replaced;
};

/// Owner for each slice of a space by rendezvous hashing; kept while the candidates are the same.
struct space_assignment
{
    /// Balance round in which the candidates were compared last.
    std::uint64_t m_round = 0;
    std::uint64_t m_candidates_hash = 0;
    std::vector<node_id> m_owner;
};

struct ownership_state
{
    // Join and own plan.
    join_phase m_phase = join_phase::idle;
    bool m_started = false;
    std::uint32_t m_plan_shards = 0;
    std::uint32_t m_slice_shards = 0;
    std::set<std::uint32_t> m_shards_to_read;
    time_point m_join_since{};

    /// Random part of the time after which a join without a lease is repeated.
    duration m_rejoin_jitter{0};

    /// Newest plan that the store is known to contain; version zero before the join.
    plan m_plan;
    time_point m_plan_since{};

    /// Newest plan under which a majority of its witnesses granted a lease.
    plan m_active;
    std::optional<plan> m_proposal;
    time_point m_next_member_check{};

    /// Highest version of the own plan seen in the store; above that of `m_plan` when a write that
    /// was given up took effect later.
    plan_version m_stored_version = 0;

    // Store access.
    std::map<operation_id, store_operation> m_operations;
    time_point m_store_retry_at{};
    duration m_store_backoff{0};
    bool m_store_down = false;
    time_point m_store_down_since{};
    time_point m_next_store_log{};
    time_point m_next_poll{};
    std::size_t m_poll_position = 0;

    /// Versions of the polled keys whose values this incarnation has learnt.
    std::map<std::string, polled_version> m_polled_versions;

    /// This node reads plans, slice tables and configuration periodically for its zone.
    bool m_polls_store = false;

    // Own lease.
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, time_point> m_rounds;
    time_point m_next_round{};
    revision_number m_round_revision = 0;

    /// Directory digest that the last round stated.
    std::uint64_t m_round_digest = 0;
    std::map<member_ref, held_grant> m_grants;
    std::set<member_ref> m_refused_by;
    bool m_had_lease = false;

    /// Latest time at which the lease was held, or at which it could first be asked for.
    time_point m_lease_held_at{};
    time_point m_backend_lease_until{};

    /// Latest time at which slices were found to be under the lease; zero while there is none.
    time_point m_lease_seen{};

    /// Start id of the backend server that has the lease and the grants.
    std::string m_backend_start;

    /// First lease request and latest message, by receiver of lease requests.
    std::map<member_ref, time_point> m_asked_since;
    std::map<member_ref, time_point> m_heard;

    /// Members that did not answer, with the time until which they are not chosen.
    std::map<member_ref, time_point> m_avoid_until;

    // Witness role.
    std::map<member_ref, granted_lease> m_granted;
    time_point m_last_tick{};
    bool m_ticked = false;

    // Standby role: promised version by fenced member and witness.
    std::map<member_ref, std::map<member_ref, plan_version>> m_promises;

    /// Latest known versions of each plan. A takeover needs the exact version that was promised.
    std::map<member_ref, std::map<plan_version, plan>> m_plan_history;

    // Slices.
    std::map<slice_id, held_slice> m_slices;
    std::map<slice_id, entry_change> m_entry_changes;

    /// They stay in the plan: while the slice table names this node, a plan without them would let
    /// another node adopt them.
    std::map<slice_id, released_slice> m_released;
    std::map<slice_id, time_point> m_unowned_since;

    /// Former incarnations of this process that the slice table may still name.
    std::map<member_ref, abandoned_incarnation> m_abandoned;

    /// Highest plan version whose releases were refused, by sender.
    std::map<member_ref, plan_version> m_refused_releases;
    std::map<std::string, space_assignment> m_assignments;
    time_point m_next_balance{};
    std::uint64_t m_balance_round = 0;

    /// Inputs of the last pass over all slices, and whether it found a slice that may be acquired
    /// later although they stay the same.
    std::uint64_t m_acquire_inputs = 0;
    bool m_acquire_waits = true;
    time_point m_next_full_pass{};

    // Stop.
    /// Time since which no request is open after a stop was requested.
    time_point m_stop_idle_since{};
    bool m_stop_finished = false;

    // Directory synchronisation.
    std::map<member_ref, time_point> m_next_pull;

    static constexpr std::size_t max_plan_history = 8;
};

} // namespace azureladder::core
