#pragma once

#include <azureladder/key_ranges/range_table_recovery.hpp>
#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>
#include <azureladder/sidecar/node_state.hpp>

#include <string>
#include <utility>

namespace azureladder::sidecar {

/// State, time and effects of the step in progress.
struct step_context
{
    node_state& m_state;
    time_point m_now;
    effects& m_effects;
};

/// Connection id of frames that a node sends to itself.
inline constexpr std::uint64_t loopback_link = 0;

inline void emit(step_context& context, effect wanted)
{
    context.m_effects.push_back(std::move(wanted));
}

inline void log(step_context& context, log_level level, const char* name, json fields)
{
    context.m_effects.push_back(log_line{level, name, std::move(fields)});
}

inline const routing::service_definition* find_service(const node_state& state,
                                                       const std::string& name)
{
    if (!state.m_active_configuration.m_configuration)
        return nullptr;
    const auto found = state.m_active_configuration.m_configuration->m_services.find(name);
    return found == state.m_active_configuration.m_configuration->m_services.end() ? nullptr
                                                                                   : &found->second;
}

/// Service of this VM, by the settings. Announcements of other services are ignored.
inline const std::string& local_service(const node_state& state)
{
    return state.m_options.m_service;
}

// Requests of callers.
void on_caller_request(step_context& context, const caller_request& arrived);
void on_caller_disconnected(step_context& context, const caller_disconnected& left);
void on_response(step_context& context, const response_frame& frame);
void on_refusal(step_context& context, const refusal_frame& frame);
void on_failure(step_context& context, const failure_frame& frame);
void on_body_request(step_context& context, std::uint64_t link, const std::string& node,
                     const body_request_frame& frame);
void on_peer_link_lost(step_context& context, const std::string& node);
void on_peer_connected(step_context& context, const std::string& node);
void retry_waiting_requests(step_context& context);
void check_open_requests(step_context& context);

// Local backend server.
void on_request(step_context& context, std::uint64_t link, const std::string& origin,
                const request_frame& frame);
void on_cancel(step_context& context, const std::string& origin, std::uint64_t frame);
void on_resume(step_context& context, std::uint64_t link, const std::string& origin,
               std::uint64_t frame);
void on_body(step_context& context, const std::string& origin, const body_frame& frame);
void on_execution_ended(step_context& context, const execution_ended& ended);

/// Removes the backend server after a different server has responded at its address.
void on_backend_replaced(step_context& context);
void on_origin_link_lost(step_context& context, std::uint64_t link);

/// Restarts the time in which a node that has connected again can resume its started executions.
/// Its waiting requests are dropped in time, since their callers may have disconnected.
void on_origin_connected(step_context& context, const std::string& origin,
                         std::uint64_t incarnation);
void on_backend_announced(step_context& context, const backend_announcement& announced);

/// Whether a server is confirmed and not silent. It may still be leaving, unreachable or evacuated.
bool is_in_use(const local_backend& backend);

/// Checks a server of which this process does not know whether it has left before, or whose
/// announcements have stopped.
void check_backend_presence(step_context& context);
void on_backend_checked(step_context& context, const backend_checked& checked);

/// Starts or refuses queued requests according to the current limits.
void start_waiting(step_context& context);
void update_limits(step_context& context);
void on_backend_removed(step_context& context, const backend_removed& removed);
void on_departures_read(step_context& context, const departures_read& read);

/// Records departures of backend servers. Delayed announcements cannot undo a departure.
void record_departures(step_context& context, const departed_servers& departed);

/// Marks the current server as leaving if its departure is recorded.
void apply_departures(step_context& context);

/// Records the departure of the current server if a peer has recorded it.
void adopt_peer_departures(step_context& context);

/// Records that the store may not have a departure.
void add_unstored_departure(step_context& context, const std::string& id,
                            std::int64_t started_at_ms);

/// Answers an announcement: at once, or when its departure can be acknowledged.
void respond_to_announcement(step_context& context, const backend_announced& announced);

/// Answers a message about a departure when the store has the departure, or after a short wait for
/// it. The next process of this node finds out by itself whether the server has left.
void acknowledge_when_safe(step_context& context, const pending_acknowledgement& pending);
void check_pending_acknowledgements(step_context& context);
void on_departures_stored(step_context& context, const departed_servers& stored);
void check_backend_executions(step_context& context);

/// Limits the slots for new requests to what the load reports of the called services allow.
void check_called_services(step_context& context);

/// Restarts the time in which requests over lost connections can be resumed, of open requests and
/// of executions. Neither side could resume them while this process stood still.
void restart_resume_windows(step_context& context);
bool accepts_requests(const node_state& state, time_point now);

/// Time between two ticks above which the process counts as paused. Frames may then have arrived
/// that were not read yet.
inline constexpr duration max_tick_interval = milliseconds(300);

/// Identifier of one incarnation of a backend server: id and start time.
std::string incarnation_of(const backend_announcement& announcement);

/// Incarnation that the fencing tokens of this node are bound to: of its backend server, its own
/// process and the connection epoch. A new process therefore writes the table before it grants
/// keys, so that outstanding writes of its predecessor fail. Empty while there is no server.
std::string local_owner_incarnation(const node_state& state);

// Peers.
void on_link_opened(step_context& context, const link_opened& opened);
void on_link_closed(step_context& context, const link_closed& closed);
void on_connect_failed(step_context& context, const connect_failed& failed);
void on_nodes_listed(step_context& context, const nodes_listed& listed);
void on_hello(step_context& context, std::uint64_t link, const hello_frame& frame);
void on_ping(step_context& context, std::uint64_t link, const ping_frame& frame);
void on_status(step_context& context, std::uint64_t link, const status_frame& frame);

/// Returns false, and drops the frame, when there is no connection to the node.
bool send_to_node(step_context& context, const std::string& node, peer_frame frame);
void send_on_link(step_context& context, std::uint64_t link, peer_frame frame);
void broadcast_status(step_context& context);
void send_status(step_context& context, std::uint64_t link);

/// Records when a frame was sent by its sender's clock. Returns how much longer it was on its way
/// than the fastest recent frame of the connection.
duration record_frame_delay(step_context& context, std::uint64_t link, std::int64_t sent_us);
void ping(step_context& context, peer_state& peer);
void check_peers(step_context& context);

/// Whether requests may be sent to a peer: it is connected, its handshake is complete and it
/// responds to pings.
bool is_usable(const node_state& state, const peer_state& peer, time_point now);

// Quotas of organisations. One node counts for each of them; the ingresses ask it for tokens.
inline bool has_organisations(const node_state& state)
{
    return state.m_active_configuration.m_configuration &&
           state.m_active_configuration.m_configuration->m_has_organisations;
}

const routing::organisation* find_organisation(const node_state& state, const std::string& name);

/// Whether this node precedes those that have started shortly before in counting for organisations.
bool counts_quotas(const node_state& state, time_point now);

/// Node to ask for tokens of an organisation, as far as this node knows.
std::string counting_node_of(const node_state& state, const std::string& organisation,
                             time_point now);
void on_quota_request(step_context& context, std::uint64_t link, const quota_request_frame& frame);
void on_quota_answer(step_context& context, const std::string& node,
                     const quota_answer_frame& frame);
void on_quota_return(step_context& context, const quota_return_frame& frame);

/// Adds the tokens of the past time to the buckets of this node, or stops counting.
void check_quota_buckets(step_context& context);

/// Asks again for the tokens of waiting requests, or ends their wait. A request does not wait past
/// its share of the target latency.
void check_quota_waits(step_context& context);

// Documents.
inline constexpr const char* configuration_document = "configuration";
inline constexpr const char* evacuations_document = "evacuations";
std::string table_document(const std::string& service);
document_revisions received_revisions(const node_state& state);
void on_operator_documents(step_context& context, const operator_documents& read);
void on_configuration_decoded(step_context& context, const configuration_decoded& decoded);
void on_peer_revisions(step_context& context, std::uint64_t link,
                       const document_revisions& revisions);
void on_document_request(step_context& context, std::uint64_t link,
                         const document_request_frame& frame);
void on_document(step_context& context, std::uint64_t link, const document_frame& frame);
void check_outdated_documents(step_context& context);

/// Ends the retention of evacuations that the operator has not written again.
void check_retained_evacuations(step_context& context);

// Eras of the store.

/// Records an era of the store. In a newer one this node claims its key ranges again.
void on_store_era(step_context& context, std::uint64_t era);

/// Whether every lease of a former era has expired, so that ranges may be confirmed in this one.
bool may_confirm_ranges(const node_state& state, time_point now);

/// Retains a table of a newer era than the one in effect, until this node has claimed its ranges in
/// it. Returns false if there is nothing to claim.
bool retain_for_claim(step_context& context, const std::string& service, std::uint64_t revision,
                      const key_ranges::range_table& table, time_point confirmed_at);

/// Begins to claim ranges in an era for which the store has no table yet. Returns false if no table
/// of a former era is known.
bool begin_table_of_new_era(step_context& context, const table_read& read);

/// Claims the ranges of this node in a retained table. Returns whether one is still retained.
bool claim_ranges(step_context& context, const std::string& service);

// Key ranges: tables, leases and transfers.
void on_table_read(step_context& context, const table_read& read);
void on_table_written(step_context& context, const table_written& written);
void on_key_command_ended(step_context& context, const key_command_ended& ended);

/// Puts a revision of a range table in force unless a newer one is. `confirmed_at` is the time at
/// which the store had this revision, unset if unknown; `source` is for the log.
void install_table(step_context& context, const std::string& service, std::uint64_t revision,
                   const key_ranges::range_table& table, time_point confirmed_at,
                   const char* source);

/// Like `install_table`, without regard to ranges that this node may have to claim first.
void put_table_in_effect(step_context& context, const std::string& service, std::uint64_t revision,
                         const key_ranges::range_table& table, time_point confirmed_at,
                         const char* source);

/// Writes a table if the store has the expected revision.
void write_proposed_table(step_context& context, const std::string& service,
                          std::uint64_t expected_revision, key_ranges::range_table table,
                          const char* reason);

/// Parses and installs a whole table.
void install_table(step_context& context, const std::string& service, std::uint64_t revision,
                   const std::string& text, time_point confirmed_at, const char* source);

/// Frame with a table, or with its changes since `known_revision` if this node can name them.
document_frame make_table_frame(const std::string& service, const received_table& table,
                                std::uint64_t known_revision);
void on_released_keys(step_context& context, const std::string& origin,
                      const released_keys_frame& frame);
void check_tables(step_context& context);
void check_range_leases(step_context& context);
void check_range_transfers(step_context& context);
void clear_range_leases(step_context& context);

/// Ranges on which the table entitles this node to grant leases now, without those in transfer.
std::vector<key_ranges::range_claim> entitled_ranges(const node_state& state, time_point now);

/// Whether the local backend server has a valid lease for a key.
bool has_key_lease(const node_state& state, std::uint32_t key, time_point now);

/// Service of the local backend server if it is divided by key, else empty.
std::string local_keyed_service(const node_state& state);

/// Whether this node has to release all its ranges: it stops, drains, is evacuated or has no
/// reachable backend server.
bool must_release_all_ranges(const node_state& state, time_point now);

/// Utilization of the local backend server by requests for its key ranges; 1 is its full capacity.
double key_utilization(const node_state& state, time_point now);

/// Means of the requests for the key ranges of the local backend server; unknown while keys are not
/// placed by speed.
key_ranges::owner_report owner_report(const node_state& state);

/// Members that may own ranges of a service: incarnations of their servers by node name.
std::map<std::string, std::string> eligible_owners(const node_state& state,
                                                   const std::string& service, time_point now);

} // namespace azureladder::sidecar
