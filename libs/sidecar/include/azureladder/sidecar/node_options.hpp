#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/key_ranges/hold_rules.hpp>
#include <azureladder/routing/attempt_age.hpp>
#include <azureladder/routing/gate_options.hpp>
#include <azureladder/routing/placement.hpp>
#include <azureladder/routing/retry_budget.hpp>
#include <azureladder/sidecar/help_pauses.hpp>

#include <cstdint>
#include <string>

namespace azureladder::sidecar {

struct node_options
{
    std::string m_node;
    std::uint64_t m_incarnation = 0;
    std::string m_zone;

    /// Service of the backend server beside this node.
    std::string m_service;

    /// Where other nodes reach this one, "IP:PORT".
    std::string m_peer_address;

    routing::gate_options m_gate;
    routing::placement_options m_placement;
    routing::retry_budget_options m_retry;
    routing::attempt_age_options m_attempt_age;
    key_ranges::hold_options m_holds;

    /// Time between two pings of a peer; shorter while requests are open there.
    duration m_idle_ping_interval = milliseconds(1000);
    duration m_busy_ping_interval = milliseconds(250);

    /// Time without an answer to a ping after which a peer gets no new requests. Above the round
    /// trip between zones and the pause of a processor quota.
    duration m_suspect_after = milliseconds(350);

    /// Time without an answer after which the connection to a peer is replaced.
    duration m_reconnect_after = milliseconds(1500);

    /// Pause between two attempts to connect to a lost peer, doubled up to the maximum.
    duration m_min_connect_pause = milliseconds(100);
    duration m_max_connect_pause = milliseconds(1600);

    /// Time for which an unreachable peer is kept.
    duration m_forget_peer_after = seconds(60);

    /// Time for which requests sent over a broken connection may be resumed over a new one.
    duration m_resume_window = milliseconds(800);

    /// Part of a request's target time for which the ingress waits for a range that is moving.
    double m_moving_wait_share = 0.4;

    /// How long a gate still starts waiting requests after its server has said that it leaves.
    /// Half of the shortest `drain` bound.
    duration m_drain_start_window = milliseconds(1000);

    /// Consecutive executions without an answer after which a backend server counts as silent.
    std::uint32_t m_silent_after = 4;

    /// Time without a sign of life after which a lost owner's ranges are claimed.
    help_pauses m_claim_pauses{milliseconds(1500), milliseconds(1500)};

    /// Time for which an owner may take tokens for a new life itself: a few calls of the store.
    help_pauses m_bind_pauses{milliseconds(600), milliseconds(300)};

    /// Time between two decisions about moving load.
    duration m_balance_interval = milliseconds(600);

    /// Use below which a server keeps its keys, since a move makes them wait for running work.
    double m_balance_min_use = 0.7;

    /// Difference in use between two backend servers above which keys move, as a share of one.
    double m_balance_threshold = 0.25;

    /// Fraction of requests kept by the decaying counts at each balance interval.
    float m_load_decay = 0.7F;

    /// Largest number of ranges of one service before neighbours are joined.
    std::size_t m_max_ranges = 64;

    /// Shortest time before a store call that failed is repeated.
    duration m_store_retry = milliseconds(400);

    /// Time after the start for which a first table waits for further members. Connecting to a
    /// hundred peers takes seconds on a tenth of a core.
    duration m_table_creation_delay = milliseconds(5000);

    /// Time from a stop request after which callers are refused: their requests could be cut by the
    /// end of the process.
    duration m_stop_admission = milliseconds(2900);

    /// Shortest and longest time from a stop request to the end of the process. Callers see the
    /// node as not ready after two probes, one a second.
    duration m_min_stop_time = milliseconds(3300);
    duration m_max_stop_time = milliseconds(5500);
};

} // namespace azureladder::sidecar
