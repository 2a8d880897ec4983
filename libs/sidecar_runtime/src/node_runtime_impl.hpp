#pragma once

#include "backend_connection_pool.hpp"
#include "http_listener.hpp"
#include "key_command_sender.hpp"
#include "peer_link.hpp"
#include "store_session.hpp"

#include <azureladder/sidecar/step.hpp>
#include <azureladder/sidecar_runtime/line_log.hpp>
#include <azureladder/sidecar_runtime/node_runtime.hpp>
#include <azureladder/telemetry/metrics.hpp>

#include <boost/asio/signal_set.hpp>

#include <deque>
#include <map>
#include <memory>

namespace azureladder::sidecar_runtime {

class node_runtime::impl
{
public:
    impl(const sidecar_settings& settings, std::string settings_path, const protocol_codec& codec,
         const clock& time);

    void run();

private:
    void happen(sidecar::event happened);
    void carry_out(const sidecar::effect& wanted);

    /// Session that waits for the answer to a caller, or null when the caller has left.
    std::shared_ptr<http_session> take_session(std::uint64_t caller);

    void apply(const sidecar::pass_answer& wanted);
    void apply(const sidecar::answer_caller& wanted);
    void apply(const sidecar::connect_node& wanted);
    void apply(const sidecar::close_link& wanted);
    void apply(const sidecar::send_frame& wanted);
    void apply(const sidecar::start_execution& wanted) { m_backend.start(wanted); }
    void apply(const sidecar::cancel_execution& wanted) { m_backend.cancel(wanted.m_execution); }
    void apply(const sidecar::grant_keys& wanted) { m_orders.grant(wanted); }
    void apply(const sidecar::release_keys& wanted) { m_orders.release(wanted); }
    void apply(const sidecar::decode_configuration& wanted);
    void apply(const sidecar::read_table& wanted) { m_store.read_table(wanted); }
    void apply(const sidecar::write_table& wanted) { m_store.write_table(wanted); }
    void apply(const sidecar::record_departures& wanted) { m_store.write_departures(wanted); }
    void apply(const sidecar::record_request& wanted);
    void apply(const sidecar::log_line& wanted);
    void apply(const sidecar::stop_process& wanted);

    void on_caller(const std::shared_ptr<http_session>& session, const http_request& request);
    void on_caller_left(const http_session& session);
    void on_registry(const std::shared_ptr<http_session>& session, const http_request& request);
    void on_ready_probe(const std::shared_ptr<http_session>& session, const http_request& request);
    void on_metrics(const std::shared_ptr<http_session>& session);

    http_session::callbacks caller_callbacks();
    http_session::callbacks plain_callbacks(
        std::function<void(const std::shared_ptr<http_session>&, http_request)> on_request);

    void accept_peers();
    std::uint64_t add_link(tcp::socket socket);
    void close_link(std::uint64_t link);
    void tick();
    void wait_for_signal();
    void reload_settings();
    std::string metrics_text();

    sidecar_settings m_settings;
    std::string m_settings_path;
    const protocol_codec& m_codec;
    const clock& m_clock;
    asio::io_context m_io{1};
    const sidecar::node_options m_options;
    line_log m_log;
    sidecar::node_state m_state;
    std::deque<sidecar::event> m_events;
    bool m_stepping = false;

    backend_connection_pool m_backend;
    key_command_sender m_orders;
    store_session m_store;
    peer_link::callbacks m_link_callbacks;
    std::map<std::uint64_t, std::shared_ptr<peer_link>> m_links;
    std::uint64_t m_next_link = 1;
    std::map<std::uint64_t, std::shared_ptr<http_session>> m_callers;
    std::map<const http_session*, std::uint64_t> m_caller_of_session;
    std::uint64_t m_next_caller = 1;

    tcp::acceptor m_peer_acceptor;
    std::unique_ptr<http_listener> m_caller_listener;
    std::unique_ptr<http_listener> m_registry_listener;
    std::unique_ptr<http_listener> m_ready_listener;
    std::unique_ptr<http_listener> m_metrics_listener;
    asio::steady_timer m_tick_timer;
    asio::signal_set m_signals;
    telemetry::metrics m_metrics;
};

} // namespace azureladder::sidecar_runtime
