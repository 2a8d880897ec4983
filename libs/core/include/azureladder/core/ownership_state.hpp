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

/// State of the join procedure, after which an incarnation may request leases.
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

/// Purpose of a store operation.
enum class store_operation_kind
{
    read_cluster,
    write_cluster,
    read_join_plan_shard,
    read_own_plan,
    write_own_plan,
    poll_plan_shard,
    poll_slice_table,
    read_slice_table,
    write_slice_table
};

/// An open store operation of the ownership module.
struct store_operation
{
    store_operation_kind m_kind = store_operation_kind::read_cluster;
    std::string m_key;

    /// Incarnation that started the operation; answers for a former incarnation are ignored.
    incarnation_id m_incarnation = 0;
    time_point m_started{};

    /// Plan version or slice table entries in the write.
    plan_version m_version = 0;
    std::vector<owned_slice> m_slices;
};

/// Version of a polled key and the incarnation that read its value.
struct polled_version
{
    std::uint64_t m_version = 0;
    incarnation_id m_incarnation = 0;
};

/// Lease grant received from one witness.
struct received_grant
{
    time_point m_valid_until{};
    plan_version m_version = 0;
};

/// Lease that this node granted as a witness, and the promise that follows its expiry.
struct granted_lease
{
    /// Highest plan version under which a lease was granted.
    plan_version m_version = 0;
    time_point m_expires{};

    /// Directory digest that the holder sent last; zero when it sent none.
    std::uint64_t m_stated_digest = 0;

    /// Set when the lease has expired. No further lease is granted to this incarnation.
    bool m_promised = false;
    time_point m_promised_at{};
    time_point m_next_send{};
    duration m_send_interval{0};
    std::set<member_id> m_acknowledged;
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

    /// Whether the slice table in the store names this incarnation and epoch.
    bool m_recorded = false;

    /// Whether the records in effect allow this node to serve the slice.
    bool m_allowed = false;

    /// Whether `ownership_started` was logged and `ownership_ended` was not yet.
    bool m_start_logged = false;

    /// Earliest time of service: executions at the former owner have ended then.
    time_point m_serve_from{};

    /// Receiver of the slice in the phases `moving`, `draining` and `releasing`.
    member_id m_handoff_receiver;

    /// Whether the plan must list the move, because the receiver is not the standby of the slice.
    bool m_planned_move = false;

    /// Whether the slice moves for balance. Otherwise it leaves because this node must not keep it.
    bool m_for_balance = false;
    time_point m_phase_since{};
    time_point m_next_send{};

    /// Time at which this node first found the receiver of a release superseded by a newer
    /// incarnation.
    time_point m_receiver_superseded_at{};

    /// Reasons in the log for the start of the ownership and for handing the slice off.
    std::string m_reason;
    std::string m_handoff_reason;
};

/// A released slice that the receiver has not yet recorded in the slice table, as far as this node
/// has received.
struct released_slice
{
    epoch_number m_epoch = 0;
    member_id m_receiver;
};

/// Plans of a former incarnation of this process, under which witnesses may still promise to fence
/// it.
struct abandoned_incarnation
{
    plan m_active_plan;
    plan m_newest;
};

/// A pending compare-and-swap of a slice table entry.
struct slice_table_change
{
    /// Entry that the store must contain before the write; the owner's node is empty for a slice
    /// that never had an owner.
    slice_location m_expected_entry;
    epoch_number m_epoch = 0;
    std::string m_reason;

    /// Whether the node owns the slice before the write (takeover) or only after it.
    bool m_already_owned = false;
    bool m_claims_lost = false;

    /// Whether the expected owner can never serve again. The stored entry may then also be that of
    /// the owner before it, when the expected owner did not record its takeover.
    bool m_owner_lost = false;

    /// Owner in the replaced entry, set when the entry is read.
    member_id m_replaced_owner;
};

/// Desired owner of each slice of a space by rendezvous hashing, cached while the candidates are
/// the same.
struct space_assignment
{
    /// Balance round in which the candidates were last compared.
    std::uint64_t m_compared_round = 0;
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

    /// Random addition to the time after which a join without a lease is repeated.
    duration m_rejoin_jitter{0};

    /// Newest plan of this incarnation that was written to the store; version zero before the join.
    plan m_plan;
    time_point m_plan_written_at{};

    /// Newest plan for which a majority of its witnesses granted a lease.
    plan m_active_plan;
    std::optional<plan> m_proposed_plan;
    time_point m_next_member_check{};

    /// Highest version of the own plan in the store. It is above that of `m_plan` when an abandoned
    /// write took effect later.
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

    /// Versions of the polled keys, with the incarnation that read them.
    std::map<std::string, polled_version> m_polled_versions;

    /// Whether this node polls plans, slice tables and configuration for its zone.
    bool m_polls_store = false;

    // Own lease.
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, time_point> m_lease_rounds;
    time_point m_next_lease_round{};
    revision_number m_round_revision = 0;

    /// Directory digest sent with the last lease round.
    std::uint64_t m_round_digest = 0;
    std::map<member_id, received_grant> m_received_grants;
    std::set<member_id> m_fenced_by;
    bool m_had_lease = false;

    /// Latest time at which the node held its lease or was not yet able to request one.
    time_point m_last_lease_time{};
    time_point m_backend_lease_until{};

    /// Latest time at which `update_serving` ran under a valid lease; zero without a lease.
    time_point m_serving_checked_at{};

    /// Start id of the backend server process that has the lease and the grants.
    std::string m_backend_start_id;

    /// Time of the first lease request to each receiver, and of its latest response.
    std::map<member_id, time_point> m_first_request;
    std::map<member_id, time_point> m_last_response;

    /// Unresponsive members, with the time until which they are not selected.
    std::map<member_id, time_point> m_avoid_until;

    // Witness role.
    std::map<member_id, granted_lease> m_granted_leases;
    time_point m_last_tick{};
    bool m_ticked = false;

    // Standby role: plan version in each promise, by fenced member and witness.
    std::map<member_id, std::map<member_id, plan_version>> m_promises;

    /// Latest received versions of each plan. A takeover needs exactly the version in the promises.
    std::map<member_id, std::map<plan_version, plan>> m_plan_history;

    // Slices.
    std::map<slice_id, held_slice> m_slices;
    std::map<slice_id, slice_table_change> m_slice_table_changes;

    /// Released slices by slice. They remain in the plan: without them the plan would let another
    /// node adopt them while the slice table still names this node.
    std::map<slice_id, released_slice> m_released;
    std::map<slice_id, time_point> m_unowned_since;

    /// Former incarnations of this process that the slice table may still name as owners.
    std::map<member_id, abandoned_incarnation> m_abandoned;

    /// Highest plan version whose releases this node refused, by sender.
    std::map<member_id, plan_version> m_refused_release_versions;
    std::map<std::string, space_assignment> m_assignments;
    time_point m_next_balance{};
    std::uint64_t m_balance_round = 0;

    /// Hash of the inputs of the last acquisition scan, and whether that scan found a slice that
    /// becomes acquirable with time alone.
    std::uint64_t m_acquire_inputs_hash = 0;
    bool m_acquire_pending = true;
    time_point m_next_full_scan{};

    // Planned stop.
    /// Time since which no request is open after the stop request.
    time_point m_stop_idle_since{};
    bool m_stop_finished = false;

    // Directory synchronisation.
    std::map<member_id, time_point> m_next_pull;

    static constexpr std::size_t max_plan_history = 8;
};

} // namespace azureladder::core
