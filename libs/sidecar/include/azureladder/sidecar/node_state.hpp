#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/routing/admission_controller.hpp>
#include <azureladder/routing/attempt_age.hpp>
#include <azureladder/routing/retry_budget.hpp>
#include <azureladder/routing/routing_configuration.hpp>
#include <azureladder/routing/weighted_round_robin.hpp>
#include <azureladder/sidecar/accepted_link.hpp>
#include <azureladder/sidecar/backend_announcement.hpp>
#include <azureladder/sidecar/backend_execution.hpp>
#include <azureladder/sidecar/backend_standing.hpp>
#include <azureladder/sidecar/key_ownership.hpp>
#include <azureladder/sidecar/node_options.hpp>
#include <azureladder/sidecar/open_request.hpp>
#include <azureladder/sidecar/peer_index.hpp>
#include <azureladder/sidecar/peer_state.hpp>
#include <azureladder/sidecar/pending_acknowledgement.hpp>
#include <azureladder/sidecar/quota_counting.hpp>
#include <azureladder/sidecar/separate_bodies.hpp>
#include <azureladder/sidecar/unstored_departure.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace azureladder::sidecar {

/// The backend server beside this node.
struct local_backend
{
    backend_announcement m_announcement;
    time_point m_announced_at;
    time_point m_cold_until;

    /// Interval between its announcements, learned from the second one on; zero before.
    duration m_announcement_interval{};

    backend_standing m_standing = backend_standing::unconfirmed;

    /// Its announcements have stopped, and it does not respond to checks.
    bool m_silent = false;

    /// Time since which it is unconfirmed or silent, if it is.
    time_point m_unused_since;

    /// Check in progress, 0 if there is none, and start of the latest one.
    std::uint64_t m_check = 0;
    time_point m_checked_at;

    /// Latest response to a check.
    time_point m_check_answered_at;

    /// It does not respond to checks as a backend server does, so it is not checked any more.
    bool m_is_uncheckable = false;

    /// The server has announced its departure, and time of the announcement.
    bool m_leaving = false;
    time_point m_leaving_since;

    /// Connections to its address fail, and time of the first failure.
    bool m_unreachable = false;
    time_point m_unreachable_since;

    /// Consecutive executions without a response.
    std::uint32_t m_unanswered_executions = 0;

    /// Consecutive executions that the server reset while it had no free slot.
    std::uint32_t m_resets_while_full = 0;
    time_point m_next_probe_at;
};

/// Configuration and evacuations in effect at this node.
struct active_configuration
{
    /// Newest store revision of the configuration that was decoded. Peers compare versions, since
    /// the store may return to an earlier version.
    std::uint64_t m_revision = 0;
    std::string m_text;
    std::shared_ptr<const routing::routing_configuration> m_configuration;

    /// Revision of the evacuations, which change independently of the configuration.
    std::uint64_t m_evacuations_revision = 0;

    /// Evacuations of this revision, and those in effect: with the retained ones.
    std::set<std::string> m_listed_evacuations;
    std::set<std::string> m_evacuated_zones;

    /// Evacuations that the store of a new era does not list yet, with the time until which they
    /// stay in effect. The operator writes what the store has lost again.
    std::map<std::string, time_point> m_retained_evacuations;

    /// Newest revision whose change was missed by the watch. Peers are told of it once it is in
    /// effect.
    std::uint64_t m_missed_revision = 0;
};

/// A document of which a peer has reported a newer revision.
struct outdated_document
{
    std::uint64_t m_revision = 0;
    std::uint64_t m_link = 0;
    time_point m_outdated_since;
    time_point m_requested_at;

    /// A response may belong to any of the requests, so a confirmation counts from the first one.
    time_point m_first_requested_at;
};

/// Complete state of one node. Modified by `step` only.
struct node_state
{
    node_options m_options;
    time_point m_started_at;
    time_point m_last_tick;
    std::mt19937_64 m_random;

    active_configuration m_active_configuration;

    /// Newest known era of the store, and the time at which this node learned of it.
    std::uint64_t m_store_era = 0;
    time_point m_store_era_known_at;

    /// Requests of callers, and the budgets and histories of their services and routes.
    std::map<std::uint64_t, open_request> m_requests;
    std::map<std::uint64_t, std::uint64_t> m_caller_of_frame;
    std::uint64_t m_next_frame = 1;
    std::map<std::string, routing::weighted_round_robin> m_service_selections;
    routing::retry_budgets m_retry_budgets;

    /// By route.
    std::map<std::string, routing::deadline_history> m_deadline_histories;

    /// Organisations of the callers.
    quota_counting m_quotas;

    /// Peers and connections.
    peer_map m_peers;
    peer_index m_peer_index;
    std::map<std::uint64_t, std::string> m_node_of_link;
    std::map<std::uint64_t, accepted_link> m_accepted_links;
    std::deque<peer_frame> m_loopback_frames;

    /// Local backend server: admission and executions.
    std::optional<local_backend> m_backend;

    /// Time from which on arriving announcements were sent after the start of this process.
    time_point m_current_announcements_from;
    departed_servers m_departed_servers;

    /// Those of the departures that the store is not known to have, by server id, and the messages
    /// that wait for their acknowledgement, oldest first.
    std::map<std::string, unstored_departure> m_unstored_departures;
    std::deque<pending_acknowledgement> m_pending_acknowledgements;
    routing::admission_controller m_admission_controller;
    std::map<std::uint64_t, backend_execution> m_executions;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_execution_of_frame;
    std::uint64_t m_next_execution = 1;
    separate_bodies m_separate_bodies;

    /// Memory of the responses that ended executions retain, and these executions in the order of
    /// their ends.
    std::size_t m_retained_bytes = 0;
    std::deque<std::uint64_t> m_retained_executions;

    /// Calls that the local backend server makes during its executions.
    routing::nested_calls m_nested_calls;

    /// Time since which calls are scarce or sufficient.
    time_point m_call_shortage_since;

    /// Origins of the requests that arrived for the local backend server.
    routing::origins_by_route m_request_origins;

    /// Set while the server counts as cold until its next announcement.
    time_point m_cold_until_announced;

    /// Requests that were cancelled, or reported to their origin as unknown, before they arrived,
    /// with the time of this. They are dropped if they arrive later.
    std::map<std::pair<std::string, std::uint64_t>, time_point> m_requests_to_drop;

    /// Range tables by service, and the key ranges of the local backend server.
    std::map<std::string, received_table> m_tables;
    key_ownership m_ownership;
    std::uint64_t m_next_command_id = 1;

    /// Documents of which a peer has a newer revision, by name.
    std::map<std::string, outdated_document> m_outdated_documents;

    std::string m_last_broadcast_status;

    /// Time of the next check of all peers.
    time_point m_next_peer_check_at;
    bool m_stopping = false;
    time_point m_stop_requested_at;

    /// The end of the process was requested. Events still arrive until its output is sent.
    bool m_has_stopped = false;
};

} // namespace azureladder::sidecar
