#pragma once

#include <azureladder/core/directory.hpp>
#include <azureladder/core/effects.hpp>
#include <azureladder/core/events.hpp>
#include <azureladder/core/node_state.hpp>

#include <optional>
#include <string>
#include <vector>

/// Functions shared by the sources of the ownership module; docs/design.md, section 3.
namespace azureladder::core {

/// Time for which an incarnation must be superseded before its slices are adopted without promises.
/// It is longer than the pause after which a process takes a new incarnation. Meanwhile the polling
/// nodes read all plans, so that the directory has the newest version.
inline constexpr duration superseded_wait = seconds(5);

// ownership_log.cpp
void log_event(effects& output, log_level level, const char* name, json fields);
json slice_fields(const slice_id& slice, epoch_number epoch, const std::string& reason);
std::string member_text(const member_id& member);

// ownership_store.cpp
bool is_store_due(const node_state& state, time_point now);
bool has_operation(const node_state& state, store_operation_kind task, const std::string& key = "");
void start_read(node_state& state, time_point now, store_operation_kind task,
                const std::string& key, effects& output);
void start_write(node_state& state, time_point now, store_operation operation,
                 const std::string& value, std::uint64_t version, effects& output);

/// JSON object in a value that was read for an update; an empty one when the key is absent. Nothing
/// when the read failed or the value is malformed, which is logged and delays the next attempt.
std::optional<json> parse_for_update(node_state& state, time_point now, const store_operation& read,
                                     const store_finished& answer, effects& output);
void handle_store_answer(node_state& state, time_point now, const store_finished& answer,
                         effects& output);

// ownership_join.cpp
void begin_join(node_state& state, time_point now, bool new_incarnation, effects& output);
void step_join(node_state& state, time_point now, effects& output);
void finish_join_operation(node_state& state, time_point now, const store_operation& operation,
                           const store_finished& answer, effects& output);

// plan_write.cpp
std::string plan_key(const node_state& state, const node_id& node);
void step_plan_write(node_state& state, time_point now, effects& output);
void finish_plan_operation(node_state& state, time_point now, const store_operation& operation,
                           const store_finished& answer, effects& output);

// plan_change.cpp
void propose_plan_change(node_state& state, time_point now);
void activate_granted_plan(node_state& state, time_point now, effects& output);
bool is_plan_settled(const node_state& state);
std::optional<plan> next_plan(const node_state& state, time_point now);

/// Sets the fields of the plan that describe the local backend server, if it has announced itself.
void set_backend_fields(const node_state& state, plan& value);

// plan_members.cpp
struct member_choice
{
    std::vector<member_id> m_standbys;
    std::vector<member_id> m_witnesses;
};

/// Standbys and witnesses for the next plan version.
member_choice choose_members(const node_state& state, time_point now, const member_choice& current);
bool is_usable_member(const node_state& state, time_point now, const member_id& member);
std::optional<member_id> find_usable_member(const node_state& state, time_point now,
                                            const node_id& node);
void avoid_unresponsive_members(node_state& state, time_point now);

// lease_holder.cpp
void send_lease_round(node_state& state, time_point now, effects& output);
void step_lease(node_state& state, time_point now, effects& output);
void handle_lease_grant(node_state& state, time_point now, const message_received& received,
                        const lease_grant& grant, effects& output);
void handle_lease_refusal(node_state& state, time_point now, const message_received& received,
                          const lease_refusal& refusal, effects& output);
bool is_reachable(const node_state& state, time_point now, const member_id& member);

// lease_witness.cpp
void handle_lease_request(node_state& state, time_point now, const message_received& received,
                          const lease_request& request, effects& output);
void handle_fence_ack(node_state& state, const message_received& received, const fence_ack& ack);
void step_witness(node_state& state, time_point now, effects& output);

// takeover.cpp
const plan* fenced_plan(const node_state& state, const member_id& member);
void handle_fence_promise(node_state& state, time_point now, const message_received& received,
                          const fence_promise& promise, effects& output);
bool accept_released_slice(node_state& state, time_point now, const plan& content,
                           const owned_slice& owned, effects& output);
void step_takeover(node_state& state, time_point now, effects& output);

// slice_holding.cpp
void hold_slice(node_state& state, time_point now, const owned_slice& owned, held_slice held);
void drop_slice(node_state& state, const slice_id& slice, const std::string& reason,
                effects& output);
void update_serving(node_state& state, time_point now, effects& output);
void end_serving_after_lease(node_state& state, time_point now, effects& output);
bool allowed_by_records(const node_state& state, const slice_id& slice);
duration former_execution_wait(const node_state& state, const slice_id& slice, const plan* former);
bool is_node_out_of_service(const node_state& state);
bool is_backend_leaving(const node_state& state, time_point now);

// slice_writes.cpp
std::string table_key(const node_state& state, const slice_id& slice);
void step_table_changes(node_state& state, time_point now, effects& output);
void finish_table_operation(node_state& state, time_point now, const store_operation& operation,
                            const store_finished& answer, effects& output);

// release.cpp
void step_release(node_state& state, time_point now, effects& output);
void handle_release(node_state& state, time_point now, const message_received& received,
                    const release& offer, effects& output);
void handle_release_ack(node_state& state, time_point now, const message_received& received,
                        const release_ack& ack);

// planned_stop.cpp
void step_stop(node_state& state, time_point now, effects& output);

// slice_handoff.cpp
void resume_serving(held_slice& held, time_point now);
void start_balance_move(held_slice& held, time_point now, const member_id& receiver);
void step_handoffs(node_state& state, time_point now);

// rejoin.cpp
/// Whether the lease has been lost for so long that it cannot be regained: two of three witnesses
/// are lost.
bool has_lost_witnesses(const node_state& state, time_point now);
void step_rejoin(node_state& state, time_point now, effects& output);

/// Members that can become the owner of the slice after the incarnation, whose plans list it at
/// this epoch.
std::vector<member_id> possible_successors(const abandoned_incarnation& former,
                                           const slice_id& slice, epoch_number epoch);

/// Whether the directory has a newer incarnation of the member's node.
bool is_superseded(const node_state& state, const member_id& member);

/// Whether the incarnation was superseded or fenced.
bool has_ended(const node_state& state, const member_id& member);

/// Whether a new plan version may be proposed. While the witnesses do not respond, it could not
/// become active, and it would name other receivers than the active version. Slices are released
/// only to a member that both versions name.
bool may_propose_plan(const node_state& state, time_point now);

// balance.cpp
void step_balance(node_state& state, time_point now);

// acquire.cpp
void acquire_slices(node_state& state, time_point now, const std::string& service);

// assignment.cpp
std::vector<std::string> spaces_of_node(const node_state& state, const std::string& service);
std::uint32_t slices_of_space(const node_state& state, const std::string& space);
std::string service_of_space(const std::string& space);
bool is_eligible(const node_state& state, const plan& candidate, const std::string& space);
std::vector<node_id> eligible_nodes(const node_state& state, const std::string& space);
/// Nodes in rendezvous order for the slice.
std::vector<node_id> rendezvous_order(const slice_id& slice, std::vector<node_id> nodes);
const std::vector<node_id>& desired_owners(node_state& state, const std::string& space);
std::uint64_t rendezvous_score(const slice_id& slice, const node_id& node);

// directory_sync.cpp
void merge_plan(node_state& state, const plan& value);
void merge_own_plan(node_state& state);
void remove_obsolete_plans(node_state& state);
void merge_location(node_state& state, const slice_id& slice, const slice_location& location,
                    effects& output);
void pull_if_digest_differs(node_state& state, time_point now, const message_received& received,
                            std::uint64_t other, effects& output);
/// Address in the message, or in the sender's plan for a message without an address.
endpoint sender_address(const node_state& state, const message_received& received);
void pull_directory(node_state& state, time_point now, const member_id& from,
                    const endpoint& address, effects& output);
void handle_directory_pull(const node_state& state, const message_received& received,
                           const directory_pull& pull, effects& output);
void handle_directory_push(node_state& state, const directory_push& push, effects& output);
void handle_owner_notice(node_state& state, const owner_notice& notice, effects& output);
void send_owner_notices(const node_state& state, const std::vector<owned_slice>& slices,
                        effects& output);
void send_newer_owners(const node_state& state, const message_received& received,
                       const std::vector<owned_slice>& slices, effects& output);
void send_own_plan(const node_state& state, effects& output);
std::vector<owner_notice> make_owner_notices(const member_id& owner,
                                             const std::vector<owned_slice>& slices);
std::vector<member_id> store_polling_members(const node_state& state);

// directory_poll.cpp
void step_store_poll(node_state& state, time_point now, effects& output);
void merge_plan_shard(node_state& state, const std::string& key, const std::string& text,
                      effects& output);
void merge_slice_table(node_state& state, const std::string& space, const std::string& text,
                       effects& output);
std::string space_of_table_key(const std::string& key);

} // namespace azureladder::core
