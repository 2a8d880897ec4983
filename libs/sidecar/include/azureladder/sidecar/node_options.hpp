#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/key_ranges/key_placement.hpp>
#include <azureladder/key_ranges/lease_rules.hpp>
#include <azureladder/routing/admission_options.hpp>
#include <azureladder/routing/attempt_age.hpp>
#include <azureladder/routing/body_transfers.hpp>
#include <azureladder/routing/call_detection.hpp>
#include <azureladder/routing/call_shortage.hpp>
#include <azureladder/routing/quota.hpp>
#include <azureladder/routing/retry_budget.hpp>
#include <azureladder/routing/server_selection.hpp>
#include <azureladder/sidecar/staggered_delay.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace azureladder::sidecar {

struct node_options
{
    std::string m_node;
    std::uint64_t m_incarnation = 0;

    /// Start of the process in Unix milliseconds, by the clock of the VM.
    std::int64_t m_started_at_ms = 0;
    std::string m_zone;

    /// Service of the local backend server.
    std::string m_service;

    /// Address at which other nodes connect to this one, "IP:PORT".
    std::string m_peer_address;

    /// Bandwidth of the VM's link in Mbit/s; 0 if unknown.
    double m_link_mbps = 0.0;

    routing::admission_options m_admission_options;
    routing::body_transfer_options m_body_transfers;

    /// Size of a body above which it is sent to another node only when that node requests it.
    /// Shorter ones cost less than the round trip.
    std::size_t m_separate_body_bytes = 16U * 1024;
    routing::server_selection_options m_server_selection;
    routing::retry_budget_options m_retry;
    routing::attempt_age_options m_attempt_age;
    routing::call_detection_options m_call_detection;
    routing::call_shortage_options m_call_shortage;
    key_ranges::key_lease_options m_leases;

    routing::quota_options m_quota;

    /// Share of a request's target latency for which the ingress waits for a token of a quota.
    double m_quota_wait_share = 0.25;

    /// Time after the start of a process in which it counts for organisations only if no older one
    /// is reachable. Until its peers have connected to it, they use another counting node.
    duration m_quota_start_delay = milliseconds(5000);

    /// Interval between pings of a peer; the busy interval applies while requests to it are open.
    duration m_idle_ping_interval = milliseconds(1000);
    duration m_busy_ping_interval = milliseconds(250);

    /// Ping timeout after which a peer receives no new requests. Above the round-trip time between
    /// zones and the throttling period of a CPU quota.
    duration m_ping_timeout = milliseconds(350);

    /// Ping timeout after which the connection to a peer is reopened.
    duration m_reconnect_after = milliseconds(1500);

    /// Backoff between attempts to connect to a lost peer, doubled up to the maximum.
    duration m_min_connect_backoff = milliseconds(100);
    duration m_max_connect_backoff = milliseconds(1600);

    /// Time after which an unreachable peer is removed.
    duration m_forget_peer_after = seconds(60);

    /// Time after the loss of a connection in which its requests may be resumed over a new one.
    duration m_resume_window = milliseconds(800);

    /// Share of a request's target latency for which the ingress waits for a range in transfer.
    double m_transfer_wait_share = 0.4;

    /// Memory of the responses that are retained for origins that lost their connection.
    std::size_t m_max_retained_bytes = 24'000'000;

    /// Time for which queued requests are still started after the server has announced its
    /// departure. Half of the shortest `drain` bound.
    duration m_drain_start_window = milliseconds(1000);

    /// Consecutive executions without a response after which a backend server counts as
    /// unresponsive.
    std::uint32_t m_unanswered_limit = 4;

    /// Time after the first announcement of a server at which it is checked if no second one has
    /// arrived.
    duration m_first_announcement_lifetime = milliseconds(2500);

    /// Number of missed announcements after which a server is checked, and shortest time.
    std::uint32_t m_missed_announcement_limit = 3;
    duration m_min_announcement_lifetime = milliseconds(3000);

    /// Shortest time between two checks of a server.
    duration m_min_check_interval = milliseconds(500);

    /// Time after the start of a process from which on the announcements of a server that does not
    /// respond to checks count as sent after that start. Less than the shortest `recovery` bound,
    /// 15 s, in which a service has to be back after the end of all processes.
    duration m_max_announcement_delay = milliseconds(10'000);

    /// Longest time for which the acknowledgement of a departure waits for the store. Peers receive
    /// the departure meanwhile.
    duration m_departure_store_wait = milliseconds(400);

    /// Delays after which members take over the ranges of an unreachable owner.
    staggered_delay m_takeover_delay{milliseconds(1500), milliseconds(1500)};

    /// Delays after which members write the fencing tokens for an owner's new incarnation. Before,
    /// the owner writes them itself, which takes a few store calls.
    staggered_delay m_bind_delay{milliseconds(600), milliseconds(300)};

    /// Interval between decisions about load balancing.
    duration m_balance_interval = milliseconds(600);

    /// Utilization below which a server keeps its keys, because requests for keys in transfer wait
    /// for the running requests on them.
    double m_balance_min_utilization = 0.7;

    /// Difference in utilization between two backend servers above which keys are transferred.
    double m_balance_threshold = 0.25;

    /// Factor of the decaying request counts at each balance interval.
    float m_load_decay = 0.7F;

    /// Whether keys are moved from servers on which requests miss their targets to faster ones,
    /// also below `m_balance_min_utilization`.
    bool m_places_keys_by_speed = true;

    key_ranges::key_placement_options m_key_placement;

    /// Factors of an owner's sums of executions and of arrivals at each balance interval: they
    /// cover about 4.6 s and 2 s. A server's speed fluctuates for 400 ms at a time.
    double m_execution_decay = 0.87;
    double m_arrival_decay = 0.7;

    /// Executions after which an owner knows its mean execution time and latency.
    double m_min_owner_executions = 10.0;

    /// Time after a move in which an owner plans no other one: the means show the effect then. An
    /// owner that receives more than it can execute waits for the shorter time only.
    duration m_placement_settle_time = milliseconds(4000);
    duration m_overload_settle_time = milliseconds(1200);

    /// Number of ranges of one service above which adjacent ranges are merged, or that number for
    /// each owner if this is more. Merging replaces the fencing tokens and so ends transfers in
    /// progress.
    std::size_t m_max_ranges = 64;
    std::size_t m_max_ranges_per_owner = 4;

    /// Shortest delay before a failed store call is retried.
    duration m_store_retry = milliseconds(400);

    /// Delay from the node's start to the creation of the first table, in which further members
    /// connect. Connecting to a hundred peers takes seconds on a tenth of a core.
    duration m_table_creation_delay = milliseconds(5000);

    /// Time after a stop request from which on new requests are refused, because the end of the
    /// process could interrupt them.
    duration m_stop_admission_window = milliseconds(2900);

    /// Shortest and longest time from a stop request to the end of the process. Callers detect that
    /// the node is not ready after two probes, one a second.
    duration m_min_stop_time = milliseconds(3300);
    duration m_max_stop_time = milliseconds(5500);
};

/// Sets the longest stop time, and shortens the other stop times to fit into it: the process ends
/// in time, and requests accepted last have time to complete.
void set_max_stop_time(node_options& options, duration max_stop_time);

} // namespace azureladder::sidecar
