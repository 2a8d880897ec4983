#pragma once

#include "client_connection.hpp"

#include <azureladder/base/clock.hpp>
#include <azureladder/sidecar/check_turn.hpp>
#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>
#include <azureladder/sidecar_runtime/protocol_codec.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace azureladder::sidecar_runtime {

struct store_client_options
{
    std::string m_node;
    std::string m_peer_address;
    endpoint m_address;

    milliseconds m_connect_timeout{700};

    /// Timeout of one call. A healthy store responds within milliseconds.
    milliseconds m_call_timeout{1500};

    /// Time that the store holds a watch open without events. Each renewal is a priced call. TCP
    /// keep-alive detects a dead connection earlier, and checks detect a response that was lost.
    milliseconds m_watch_wait{28'000};

    /// Interval at which one of the connected nodes checks that no change of the operator's
    /// documents was missed, so that the calls of all nodes together do not grow with their number.
    /// A change has to be in effect within seconds.
    milliseconds m_check_interval{1000};

    /// Shortest interval between the checks of one node, and delay of the first one. Nodes connect
    /// to each other meanwhile.
    milliseconds m_min_own_check_interval{3000};
    milliseconds m_first_check_delay{6000};

    /// Base of the delay before a retry. Failed calls are priced too.
    milliseconds m_retry_delay{400};

    /// Time to live of this node's record and its lease, and interval between renewals.
    milliseconds m_record_ttl{120'000};
    milliseconds m_lease_renewal_interval{40'000};

    /// Interval between reads of the list of nodes after the first. Nodes that join later connect
    /// to this node themselves.
    milliseconds m_node_list_interval{30'000};
};

/// Makes all calls of one node to the store. Keeps the current operator documents and reports
/// changes to them.
class store_client
{
public:
    using event_handler = std::function<void(sidecar::event)>;
    using turn_source = std::function<sidecar::check_turn()>;
    using log_handler = std::function<void(log_level, std::string_view, const json&)>;

    store_client(asio::io_context& io, const clock& time, const protocol_codec& codec,
                 byte_budget& budget, store_client_options options, event_handler on_event,
                 log_handler on_log_line, turn_source turn);

    void start();
    void read_table(const sidecar::read_table& command);
    void write_table(const sidecar::write_table& command);

    /// Writes the departures to the store, retries until the write succeeds and reports it.
    void write_departures(const sidecar::store_departures& command);

    /// Learns of an era of the store from a peer. Responses of former eras are dropped, and what
    /// this node has written is written again.
    void enter_era(std::uint64_t era);

    /// Number of calls since the start.
    std::uint64_t call_count() const { return m_call_count; }

private:
    using response_handler = std::function<void(const exchange_outcome&)>;

    void call(const http_request& request, milliseconds timeout, response_handler on_response);
    void run_after(milliseconds delay, std::function<void()> action);
    milliseconds with_jitter(milliseconds delay);
    void update_reachability(bool reachable, const std::string& cause);

    /// Whether a response belongs to an era that has ended. Enters the era of a newer one.
    bool is_of_former_era(const exchange_outcome& outcome);

    /// Adds the newest table of a former era to a read that found none of this one, and reports it.
    void read_former_table(const sidecar::table_read& read);

    void load_operator_documents(const std::string& after_key);
    void apply_item(const store_item& item);
    void report_operator_documents(std::uint64_t revision, bool missed_by_watch = false);
    void watch();
    void on_watch(const exchange_outcome& outcome);

    /// Checks regularly, when it is this node's turn, that the watch has missed no event. A
    /// connection whose response was lost stays open and returns nothing further.
    void schedule_check();
    bool is_own_turn() const;
    void check_operator_documents();
    void on_check(const exchange_outcome& outcome);

    void create_lease();
    void write_record(std::uint64_t lease);
    void retry_record();
    void schedule_lease_renewal(milliseconds delay, std::uint64_t lease);
    void renew_lease(std::uint64_t lease);
    void list_nodes(bool stale, const std::string& after_key);
    void schedule_node_lists();

    std::string departures_key() const;

    /// Reports the departures of a newer item. Returns whether they could be read.
    bool apply_departures(const store_item& item);

    /// Reads the departures of this node until that succeeds once.
    void read_departures();

    /// Puts the operator's documents in effect that have waited for the departures.
    void finish_departures_read();

    /// Adds the departures of another node to the list that is being read.
    void load_peer_departures(const store_item& item);
    void put_departures();
    void on_departures_put(const sidecar::departed_servers& departed,
                           const exchange_outcome& outcome);

    asio::io_context& m_io;
    const clock& m_clock;
    const protocol_codec& m_codec;
    byte_budget& m_budget;
    store_client_options m_options;
    event_handler m_on_event;
    log_handler m_on_log_line;
    turn_source m_turn;
    std::mt19937 m_random;
    std::vector<std::shared_ptr<client_connection>> m_idle_connections;
    std::shared_ptr<client_connection> m_watch_connection;

    /// A watch was sent and has no outcome yet.
    bool m_is_watching = false;

    /// Newest known era of the store. Revisions below are numbers within it.
    std::uint64_t m_era = 0;

    /// Increased in each era, so that pending calls and timers of the watch and of the node's
    /// record end.
    std::uint64_t m_watch_number = 0;
    std::uint64_t m_record_number = 0;

    std::uint64_t m_revision = 0;
    std::string m_configuration_text;
    std::uint64_t m_configuration_revision = 0;
    bool m_configuration_changed = false;
    std::set<std::string> m_evacuated_zones;
    std::set<std::string> m_loading_zones;
    sidecar::nodes_listed m_loading_nodes;
    bool m_has_listed_nodes = false;

    /// Departures of this node's backend servers: the latest to store, the revision of those that
    /// are stored, and whether a write is pending.
    sidecar::departed_servers m_departures;
    std::uint64_t m_departures_revision = 0;
    bool m_is_writing_departures = false;

    /// The departures that former processes have stored are known. The operator's documents wait
    /// for it: without a configuration no server is used.
    bool m_has_read_departures = false;

    bool m_is_reachable = true;
    std::uint64_t m_call_count = 0;
};

} // namespace azureladder::sidecar_runtime
