#pragma once

#include "admission_gate.hpp"
#include "backend_gateway.hpp"
#include "caller_request.hpp"
#include "open_request.hpp"
#include "peer_gateway.hpp"
#include "store_gateway.hpp"

#include <azureladder/core/step.hpp>
#include <azureladder/http/server.hpp>
#include <azureladder/node/runtime.hpp>
#include <azureladder/settings/node_settings.hpp>
#include <azureladder/telemetry/logger.hpp>
#include <azureladder/telemetry/metrics.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <thread>
#include <unordered_map>

namespace azureladder::node {

/// Implementation of `runtime`. The reducer and its state are used on the loop thread only; threads
/// of the gateways and of the HTTP server post to it.
class runtime_impl
{
public:
    runtime_impl(const settings::node_settings& settings, const clock& time,
                 platform::store& store);
    ~runtime_impl();

    result<void, node_error> start();
    int run();
    void request_stop();
    endpoint http_address() const;
    endpoint peer_address() const;

private:
    // Event loop: runtime_loop.cpp.
    void schedule_tick(time_point due);
    void reschedule_tick();
    void on_tick();
    void schedule_request_timer();
    void handle(const core::event& input);
    void begin_stop();
    void advance_stop();
    void update_gauges();

    // Requests of peers and replies to forwarded ones: runtime_peers.cpp.
    peer_gateway_callbacks make_peer_callbacks();
    void start_peer_request(const peer_origin& origin, wire::request_frame frame);
    void cancel_peer_request(const wire::correlation& correlation);
    void finish_attempt(core::attempt_finished finished, http::response reply);

    // Execution of effects: runtime_effects.cpp.
    void execute(const core::effect& requested_effect);
    void apply(const core::send_message& requested_effect);
    void apply(const core::store_read& requested_effect);
    void apply(const core::store_write& requested_effect);
    void apply(const core::dispatch_to_backend& requested_effect);
    void apply(const core::forward_request& requested_effect);
    void apply(const core::cancel_attempt& requested_effect);
    void apply(const core::answer_with_reply& requested_effect);
    void apply(const core::answer_with_replay& requested_effect);
    void apply(const core::answer_with_error& requested_effect);
    void apply(const core::extend_backend_lease& requested_effect);
    void apply(const core::set_backend_grant& requested_effect);
    void apply(const core::write_log& requested_effect);
    void apply(const core::record_request& requested_effect);
    void apply(const core::finish_stop& requested_effect);
    void answer_reply(core::request_token token, http::response reply);
    void end_peer_request(const peer_origin& origin, wire::reply_frame frame);

    // HTTP: runtime_http.cpp. Called on server threads.
    http::response handle_http(const http::request& input);
    http::response handle_caller(const http::request& input);
    http::response handle_node_endpoint(const http::request& input, const std::string& path);
    http::response handle_announcement(const http::request& input);
    http::response handle_change(const http::request& input);
    http::response handle_query(const http::request& input, const std::string& path);
    http::response run_on_loop(std::function<http::response()> function);
    std::string new_request_id();

    const settings::node_settings m_settings;
    const clock& m_clock;
    boost::asio::io_context m_io;
    boost::asio::steady_timer m_timer;

    /// Expires at the next request deadline or hedge that is due before the next tick.
    boost::asio::steady_timer m_request_timer;
    time_point m_request_timer_due = time_point::max();
    telemetry::logger m_logger;
    telemetry::metrics m_metrics;
    core::node_state m_state;
    admission_gate m_admission_gate;
    std::unordered_map<core::request_token, open_request> m_requests;
    std::map<std::pair<incarnation_id, std::uint64_t>, core::request_token> m_peer_requests;
    core::request_token m_last_token = 0;

    std::atomic<bool> m_ready{false};
    std::atomic<bool> m_stop_requested{false};
    std::atomic<std::uint64_t> m_last_request_id{0};
    bool m_slices_released = false;
    time_point m_stop_started{};
    time_point m_next_gauge_update{};
    time_point m_last_tick{};
    time_point m_next_tick{};
    int m_exit_code = 0;

    store_gateway m_store;
    backend_gateway m_backend;
    peer_gateway m_peers;
    http::server m_server;
    std::thread m_server_stop_thread;
};

} // namespace azureladder::node
