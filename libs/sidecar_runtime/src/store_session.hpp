#pragma once

#include "client_connection.hpp"

#include <azureladder/base/clock.hpp>
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

struct store_options
{
    std::string m_node;
    std::string m_peer_address;
    endpoint m_address;

    milliseconds m_connect_timeout{700};

    /// Longest time for one call; the store answers in milliseconds when it is well.
    milliseconds m_call_timeout{1500};

    /// How long a watch waits. Each return is a priced call, and TCP probes find a dead
    /// connection sooner.
    milliseconds m_watch_wait{28'000};

    /// Pause after a call that failed; each call is priced, also when it fails.
    milliseconds m_retry_pause{400};

    /// Life of the record of this node without renewal, and time between renewals.
    milliseconds m_record_life{120'000};
    milliseconds m_renew_interval{40'000};

    /// Time between two readings of the list of nodes after the first. Nodes that join later
    /// introduce themselves.
    milliseconds m_list_interval{30'000};

    /// Longest wait of an acknowledgement for the record of a departure. A backend server gives an
    /// acknowledgement up after 1 s, and it leaves without one too.
    milliseconds m_departure_wait{400};
};

/// All calls of one node to the store. Keeps what the operator has written and reports changes.
class store_session
{
public:
    using report_function = std::function<void(sidecar::event)>;
    using log_function = std::function<void(log_level, std::string_view, const json&)>;

    store_session(asio::io_context& io, const clock& time, const protocol_codec& codec,
                  store_options options, report_function report, log_function write_log);

    void start();
    void read_table(const sidecar::read_table& wanted);
    void write_table(const sidecar::write_table& wanted);

    /// Keeps the departures in the store; tries until they are written.
    void write_departures(const sidecar::record_departures& wanted);

    /// Calls `action` once no departure waits for the store, or after m_departure_wait.
    void when_departures_are_written(std::function<void()> action);

    /// Calls made since the start.
    std::uint64_t calls() const { return m_calls; }

private:
    using reply_function = std::function<void(const exchange_outcome&)>;

    void call(const http_request& request, milliseconds timeout, reply_function reply);
    void after(milliseconds pause, std::function<void()> action);
    milliseconds with_jitter(milliseconds pause);
    void note_reachable(bool reachable, const std::string& cause);

    void load_documents(const std::string& after_key);
    void take_item(const store_item& item);
    void report_documents(std::uint64_t revision);
    void watch();
    void on_watch(const exchange_outcome& outcome);

    void create_lease();
    void write_record(std::uint64_t lease);
    void retry_record();
    void renew_lease(std::uint64_t lease);
    void list_nodes(bool stale, const std::string& after_key);
    void schedule_lists();

    std::string departures_key() const;
    void take_departures(const store_item& item);
    void send_departures();
    void on_departures_sent(const std::string& text, const exchange_outcome& outcome);
    void end_departure_waits();

    asio::io_context& m_io;
    const clock& m_clock;
    const protocol_codec& m_codec;
    store_options m_options;
    report_function m_report;
    log_function m_log;
    std::mt19937 m_random;
    std::vector<std::shared_ptr<client_connection>> m_idle;
    std::shared_ptr<client_connection> m_watch_connection;

    std::uint64_t m_revision = 0;
    std::string m_configuration_text;
    std::uint64_t m_configuration_revision = 0;
    bool m_configuration_changed = false;
    std::set<std::string> m_evacuated_zones;
    std::set<std::string> m_listed_zones;
    std::map<std::string, std::string> m_listed_nodes;
    bool m_list_begun = false;

    /// Departures of this node's servers: text that is wanted in the store (empty: nothing new),
    /// revision of the present text, and who waits for its writing.
    std::string m_departures_wanted;
    std::uint64_t m_departures_revision = 0;
    bool m_departures_sending = false;
    std::vector<std::function<void()>> m_departure_waits;

    bool m_reachable = true;
    std::uint64_t m_calls = 0;
};

} // namespace azureladder::sidecar_runtime
