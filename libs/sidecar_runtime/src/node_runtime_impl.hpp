#pragma once

#include "backend_checker.hpp"
#include "backend_connection_pool.hpp"
#include "byte_budget.hpp"
#include "connection_limits.hpp"
#include "event_queue.hpp"
#include "http_listener.hpp"
#include "key_command_sender.hpp"
#include "peer_link.hpp"
#include "peer_traffic.hpp"
#include "store_client.hpp"

#include <azureladder/sidecar/step.hpp>
#include <azureladder/sidecar_runtime/json_line_log.hpp>
#include <azureladder/sidecar_runtime/node_runtime.hpp>
#include <azureladder/telemetry/metrics.hpp>

#include <boost/asio/signal_set.hpp>

#include <map>
#include <memory>
#include <set>

namespace azureladder::sidecar_runtime {

class node_runtime::impl
{
public:
    impl(const sidecar_settings& settings, std::string settings_path, const protocol_codec& codec,
         const clock& time);

    void run();

private:
    /// Adds an event and has it processed after the handlers that are ready now, so that the
    /// queue can order all events of one pass of the event loop.
    void enqueue(sidecar::event input_event);

    void process_events();

    /// Processes one event. An exception costs only this event, or the effect that raised it.
    void process_event(const sidecar::event& input_event);

    /// Runs the event loop until it is stopped. An exception costs only the handler that raised it.
    void run_event_loop();

    /// Writes a log line and counts it in the metrics.
    void report(log_level level, std::string_view event, const json& fields);

    /// Reports a handler that failed.
    void report_exception(const char* handler, const std::exception& error);

    /// Whether an event is a request whose caller has disconnected since it was read.
    bool is_request_of_disconnected_caller(const sidecar::event& input_event) const;

    void execute_effect(const sidecar::effect& command);

    /// Connection of a caller, and the number of its request there.
    struct caller_exchange
    {
        std::shared_ptr<http_session> m_session;
        std::uint64_t m_number = 0;
    };

    /// Removes a caller and sends the response to its request, unless it has disconnected.
    void respond(std::uint64_t caller, const http_response& response);

    void execute(const sidecar::forward_response& command);
    void execute(const sidecar::respond_to_caller& command);
    void execute(const sidecar::respond_to_backend& command);
    void execute(const sidecar::connect_node& command);
    void execute(const sidecar::close_link& command);
    void execute(const sidecar::send_frame& command);
    void execute(const sidecar::start_execution& command) { m_backend_connections.start(command); }
    void execute(const sidecar::cancel_execution& command)
    {
        m_backend_connections.cancel(command.m_execution);
    }
    void execute(const sidecar::grant_keys& command) { m_key_commands.grant(command); }
    void execute(const sidecar::release_keys& command) { m_key_commands.release(command); }
    void execute(const sidecar::check_backend& command) { m_backend_checker.check(command); }
    void execute(const sidecar::decode_configuration& command);
    void execute(const sidecar::enter_store_era& command)
    {
        m_store_client.enter_era(command.m_era);
    }
    void execute(const sidecar::read_table& command) { m_store_client.read_table(command); }
    void execute(const sidecar::write_table& command) { m_store_client.write_table(command); }
    void execute(const sidecar::store_departures& command)
    {
        m_store_client.write_departures(command);
    }
    void execute(const sidecar::record_request& command);
    void execute(const sidecar::log_line& command);
    void execute(const sidecar::stop_process& command);

    /// Returns whether the request is idempotent, by its route.
    bool on_caller_request(const caller_exchange& exchange, const http_request& request);
    void on_caller_disconnected(const http_session& session, std::uint64_t number);
    void on_registry_request(const caller_exchange& exchange, const http_request& request);

    /// Sends the response to a message of the backend server about itself, once.
    void respond_to_registry_message(std::uint64_t number, const http_response& response);
    void on_readiness_probe(const caller_exchange& exchange, const http_request& request);
    void on_metrics_request(const caller_exchange& exchange);

    /// Counts a connection that was closed for the sake of others.
    void count_dropped_client(const char* cause);

    bool is_idempotent(const sidecar::forwarded_request& request) const;

    http_session::callbacks caller_callbacks();
    http_session::callbacks
    default_callbacks(std::function<void(const caller_exchange&, const http_request&)> on_request);

    void accept_peers();

    /// Closes the oldest of the accepted links that have not named their node, if they are too
    /// many.
    void limit_unidentified_links();
    std::uint64_t add_link(tcp::socket socket);
    void close_link(std::uint64_t link);
    void on_frame_sent(std::uint64_t link, const peer_link::sent_frame& frame);

    void resume_held_back_links();

    /// Logs the traffic to peers since the previous report.
    void log_peer_traffic();

    /// Ends the event loop once all responses and frames have been sent, or at the deadline.
    void finish_stop();
    bool has_unsent_output() const;

    void tick();
    void wait_for_signal();
    void reload_settings();

    /// Reads the service of this VM from the settings file again, at most once a second. The file
    /// may change without a signal.
    void refresh_service();
    std::string metrics_text();

    sidecar_settings m_settings;
    std::string m_settings_path;
    const protocol_codec& m_codec;
    const clock& m_clock;

    /// Memory of unfinished responses of the backend server and of the store. A faulty server
    /// leaves the store's part free.
    byte_budget m_backend_response_budget;
    byte_budget m_store_response_budget;

    /// Memory of requests of all HTTP connections until they have a response, and of responses that
    /// are not sent.
    byte_budget m_request_budget;
    byte_budget m_caller_response_budget;

    /// Memory of frames of all peers that have arrived in part, and of frames to send.
    byte_budget m_peer_input_budget;
    byte_budget m_peer_output_budget;
    connection_limits m_connection_limits;
    asio::io_context m_io{1};
    const sidecar::node_options m_options;
    json_line_log m_log;
    sidecar::node_state m_state;
    event_queue m_events;
    bool m_is_processing_scheduled = false;
    bool m_is_processing = false;

    backend_connection_pool m_backend_connections;
    key_command_sender m_key_commands;
    backend_checker m_backend_checker;
    store_client m_store_client;
    peer_link::callbacks m_link_callbacks;
    std::map<std::uint64_t, std::shared_ptr<peer_link>> m_links;
    std::uint64_t m_next_link_id = 1;

    /// Accepted links whose node was not known yet when they were last looked at.
    std::set<std::uint64_t> m_unidentified_links;
    std::map<std::uint64_t, caller_exchange> m_exchange_of_caller;
    std::map<std::pair<const http_session*, std::uint64_t>, std::uint64_t> m_caller_of_exchange;
    std::uint64_t m_next_caller_id = 1;

    /// Messages of the backend server that have no response yet.
    std::map<std::uint64_t, caller_exchange> m_exchange_of_registry_message;
    std::uint64_t m_next_registry_message = 1;

    tcp::acceptor m_peer_acceptor;
    asio::steady_timer m_peer_accept_timer;
    std::unique_ptr<http_listener> m_caller_listener;
    std::unique_ptr<http_listener> m_registry_listener;
    std::unique_ptr<http_listener> m_ready_listener;
    std::unique_ptr<http_listener> m_metrics_listener;
    /// Number of connections of callers on which a response is being sent.
    std::size_t m_writing_sessions = 0;

    /// The reducer has ended its work. Output is sent until the deadline.
    bool m_is_ending = false;
    bool m_is_output_sent = false;
    time_point m_end_deadline;

    time_point m_next_service_refresh;
    std::map<std::string, std::uint64_t> m_event_counts;
    bulk_pacer m_bulk_pacer;

    /// Links whose bulk data the pacer has held back since the previous tick.
    std::set<std::uint64_t> m_held_back_links;

    peer_traffic m_peer_traffic{};

    /// Traffic at the previous report, and the longest waits since then.
    peer_traffic m_reported_traffic{};
    time_point m_next_traffic_report;

    asio::steady_timer m_tick_timer;
    asio::signal_set m_signals;
    telemetry::metrics m_metrics;
};

} // namespace azureladder::sidecar_runtime
