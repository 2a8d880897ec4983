#include "runtime_impl.hpp"

#include <azureladder/core/directory.hpp>
#include <azureladder/core/ownership.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <random>

namespace azureladder::node {

namespace {

/// Server threads kept free for the node's own endpoints, announcements and operators.
constexpr std::size_t reserved_threads = 16;

/// Time between two updates of the gauges.
constexpr duration gauge_interval = seconds(1);

/// Shortest time to a wake between ticks, which bounds their number.
constexpr duration min_wake_delay = milliseconds(1);

std::uint64_t random_id()
{
    std::random_device device;
    constexpr unsigned bits_per_draw = 32;
    return (std::uint64_t(device()) << bits_per_draw) | device();
}

http::server_options server_options_of(const settings::node_settings& settings)
{
    http::server_options options;
    options.m_endpoint = settings.m_http.m_listen;
    options.m_max_threads = settings.m_http.m_max_threads;
    options.m_max_body_bytes = settings.m_http.m_max_body_bytes;
    return options;
}

peer::transport_options transport_options_of(const settings::node_settings& settings)
{
    peer::transport_options options;
    options.m_listen = settings.m_peer.m_listen;
    options.m_advertised = settings.m_peer.m_advertise.value_or(endpoint());
    return options;
}

telemetry::logger_options logger_options_of(const settings::node_settings& settings)
{
    telemetry::logger_options options;
    options.m_path = settings.m_log.m_file.value_or(std::string());
    options.m_minimum_level = telemetry::log_level(settings.m_log.m_level);
    options.m_node = settings.m_node;
    return options;
}

core::node_identity identity_of(const settings::node_settings& settings)
{
    return {settings.m_node, settings.m_zone,
            settings.m_http.m_advertise.value_or(settings.m_http.m_listen),
            settings.m_peer.m_advertise.value_or(settings.m_peer.m_listen)};
}

std::size_t total_limit_of(const settings::node_settings& settings)
{
    const std::size_t threads = settings.m_http.m_max_threads;
    return threads > 2 * reserved_threads ? threads - reserved_threads : threads / 2;
}

backend_gateway_options backend_options_of(const settings::node_settings& settings)
{
    backend_gateway_options options;
    options.m_claim_body_bytes = settings.m_core.m_claim_body_bytes;
    return options;
}

} // namespace

runtime_impl::runtime_impl(const settings::node_settings& settings, const clock& time,
                           platform::store& store)
    : m_settings(settings), m_clock(time), m_timer(m_io), m_wake_timer(m_io),
      m_logger(time, logger_options_of(settings)),
      m_state(core::make_node_state(identity_of(settings), settings.m_core,
                                    settings.m_seed ? *settings.m_seed : random_id())),
      m_gate(total_limit_of(settings), std::max<std::size_t>(1, total_limit_of(settings) / 2)),
      m_store(store,
              [this](core::store_finished finished) {
                  boost::asio::post(m_io,
                                    [this, finished = std::move(finished)] { handle(finished); });
              }),
      m_backend(time, backend_options_of(settings),
                [this](core::attempt_finished finished, http::response reply) {
                    boost::asio::post(m_io, [this, finished = std::move(finished),
                                             reply = std::move(reply)]() mutable {
                        finish_attempt(std::move(finished), std::move(reply));
                    });
                }),
      m_peers(
          m_io, transport_options_of(settings), settings.m_peer.m_routes, time, random_id(),
          [this] { return core::self(m_state); }, make_peer_callbacks()),
      m_server(server_options_of(settings),
               [this](const http::request& input) { return handle_http(input); })
{
}

runtime_impl::~runtime_impl()
{
    m_server.stop();
    if (m_server_stop.joinable())
        m_server_stop.join();
    m_backend.stop();
    m_store.stop();
}

result<void, node_error> runtime_impl::start()
{
    if (const auto started = m_peers.start(); !started)
        return node_error{node_error_kind::peer_listen_failed, started.error().m_message};
    if (!m_server.start())
        return node_error{node_error_kind::http_listen_failed,
                          "cannot listen for callers on " + to_string(m_settings.m_http.m_listen)};
    m_logger.write(telemetry::log_level::info, "listening",
                   {{"http", to_string(http_address())}, {"peer", to_string(peer_address())}});
    return success();
}

int runtime_impl::run()
{
    const auto work = boost::asio::make_work_guard(m_io);
    schedule_tick();
    m_io.run();
    return m_exit_code;
}

void runtime_impl::request_stop()
{
    boost::asio::post(m_io, [this] { begin_stop(); });
}

endpoint runtime_impl::http_address() const
{
    return m_server.bound_address();
}

endpoint runtime_impl::peer_address() const
{
    return m_peers.advertised();
}

void runtime_impl::schedule_tick()
{
    m_timer.expires_after(m_settings.m_core.m_tick_interval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        on_tick();
        schedule_tick();
    });
}

void runtime_impl::schedule_wake()
{
    const auto& timers = m_state.m_routing.m_timers;
    const auto next = timers.empty() ? time_point::max() : timers.begin()->first;
    const auto now = m_clock.now();
    // The tick is soon enough for anything later, and an earlier wake looks at the timers again.
    if (next >= now + m_settings.m_core.m_tick_interval || m_wake_at <= next)
        return;
    m_wake_at = next;
    m_wake_timer.expires_after(std::max(next - now, min_wake_delay));
    m_wake_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        m_wake_at = time_point::max();
        const auto& pending = m_state.m_routing.m_timers;
        if (!pending.empty() && pending.begin()->first <= m_clock.now())
            on_tick();
        else
            schedule_wake();
    });
}

void runtime_impl::on_tick()
{
    // After a pause, messages that arrived meanwhile come before the clock: a witness must not
    // declare a lease expired while the renewal waits in its socket.
    const auto now = m_clock.now();
    if (now - m_last_tick > m_settings.m_core.m_lease_duration / 2)
        m_peers.receive_pending();
    m_last_tick = now;
    handle(core::timer_tick{});
    m_ready = core::takes_new_work(m_state, m_clock.now()) && !m_stop_requested;
    if (m_clock.now() >= m_next_gauges) {
        m_next_gauges = m_clock.now() + gauge_interval;
        update_gauges();
    }
    if (m_stop_requested)
        advance_stop();
}

void runtime_impl::handle(const core::event& input)
{
    const auto output = core::step(m_state, m_clock.now(), input);
    m_logger.set_incarnation(m_state.m_incarnation);
    for (const auto& order : output)
        execute(order);
    schedule_wake();
}

void runtime_impl::update_gauges()
{
    const auto now = m_clock.now();
    m_metrics.set_gauge("open_requests", double(m_requests.size()));
    m_metrics.set_gauge("holds_lease", core::holds_lease(m_state, now) ? 1 : 0);
    m_metrics.set_gauge("configuration_revision",
                        double(m_state.m_configuration.m_document.m_revision));
    m_metrics.set_gauge("known_nodes", double(core::newest_plans(m_state.m_directory).size()));
    const auto& traffic = m_peers.traffic();
    m_metrics.set_counter("peer_bytes_sent_total", traffic.m_bytes_sent);
    m_metrics.set_counter("peer_bytes_received_total", traffic.m_bytes_received);
    m_metrics.set_counter("peer_datagrams_sent_total", traffic.m_datagrams_sent);
    m_metrics.set_counter("peer_frames_sent_total", traffic.m_frames_sent);
    m_metrics.set_counter("peer_links_lost_total", traffic.m_links_lost);
}

void runtime_impl::begin_stop()
{
    if (m_stop_requested.exchange(true))
        return;
    m_ready = false;
    m_stop_started = m_clock.now();
    m_logger.write(telemetry::log_level::info, "stop_requested", json::object());
    handle(core::stop_requested{});
}

void runtime_impl::advance_stop()
{
    const auto elapsed = m_clock.now() - m_stop_started;
    const bool timed_out = elapsed >= m_settings.m_stop_timeout;
    const bool finished = m_slices_released && m_requests.empty();
    if (m_server_stop.joinable() || elapsed < m_settings.m_stop_grace || !(finished || timed_out))
        return;
    m_exit_code = finished ? 0 : 1;
    m_logger.write(finished ? telemetry::log_level::info : telemetry::log_level::error,
                   "node_stopped",
                   {{"open_requests", m_requests.size()},
                    {"slices_released", m_slices_released},
                    {"revision", m_state.m_configuration.m_document.m_revision}});
    m_server.stop_accepting();
    // Handlers that still wait need the loop, so the server is stopped on another thread.
    m_server_stop = std::thread([this] {
        m_server.stop();
        boost::asio::post(m_io, [this] {
            m_peers.stop();
            m_io.stop();
        });
    });
}

peer_gateway_callbacks runtime_impl::make_peer_callbacks()
{
    peer_gateway_callbacks callbacks;
    callbacks.m_on_message = [this](core::message_received input) { handle(input); };
    callbacks.m_on_request = [this](const peer_origin& origin, wire::request_frame frame) {
        start_peer_request(origin, std::move(frame));
    };
    callbacks.m_on_cancel = [this](const wire::correlation& correlation) {
        cancel_peer_request(correlation);
    };
    callbacks.m_on_attempt_finished = [this](core::attempt_finished finished,
                                             http::response reply) {
        finish_attempt(std::move(finished), std::move(reply));
    };
    callbacks.m_on_late_reply = [this](const member_ref& from) {
        m_metrics.add_counter("late_replies_total", 1);
        m_logger.write(telemetry::log_level::debug, "late_reply_dropped", {{"from", from.m_node}});
    };
    callbacks.m_on_invalid_input = [this](const std::string& reason) {
        m_metrics.add_counter("invalid_peer_messages_total", 1);
        m_logger.write(telemetry::log_level::warning, "invalid_peer_message", {{"reason", reason}});
    };
    return callbacks;
}

void runtime_impl::start_peer_request(const peer_origin& origin, wire::request_frame frame)
{
    const auto& correlation = origin.m_correlation;
    const auto key = std::make_pair(correlation.m_incarnation, correlation.m_counter);
    if (m_peer_requests.count(key) != 0)
        return; // a repeated frame
    const auto token = ++m_last_token;
    m_peer_requests[key] = token;
    open_request request;
    auto& info = request.m_info;
    info.m_request_id = std::move(frame.m_request_id);
    info.m_service = std::move(frame.m_service);
    info.m_customer = std::move(frame.m_customer);
    info.m_class = frame.m_class;
    info.m_key = std::move(frame.m_key);
    info.m_idempotency_key = std::move(frame.m_idempotency_key);
    info.m_idempotent = frame.m_idempotent;
    info.m_timeout = milliseconds(frame.m_remaining_ms);
    info.m_forwarded_by = origin.m_entry.m_node;
    info.m_claimed = frame.m_claimed;
    request.m_message.m_method = std::move(frame.m_method);
    request.m_message.m_target = std::move(frame.m_target);
    for (auto& field : frame.m_headers)
        request.m_message.m_headers.push_back({std::move(field.first), std::move(field.second)});
    request.m_message.m_body = std::move(frame.m_body);
    request.m_origin = origin;
    const core::request_arrived arrived{token, info};
    m_requests.emplace(token, std::move(request));
    handle(arrived);
}

void runtime_impl::cancel_peer_request(const wire::correlation& correlation)
{
    const auto found = m_peer_requests.find({correlation.m_incarnation, correlation.m_counter});
    if (found != m_peer_requests.end())
        handle(core::request_abandoned{found->second});
}

void runtime_impl::finish_attempt(core::attempt_finished finished, http::response reply)
{
    const auto found = m_requests.find(finished.m_token);
    if (found != m_requests.end() && finished.m_outcome == core::attempt_outcome::answered)
        found->second.m_replies[finished.m_attempt] = std::move(reply);
    handle(finished);
}

runtime::runtime(const settings::node_settings& settings, const clock& time, platform::store& store)
    : m_impl(std::make_unique<runtime_impl>(settings, time, store))
{
}

runtime::~runtime() = default;

result<void, node_error> runtime::start()
{
    return m_impl->start();
}

int runtime::run()
{
    return m_impl->run();
}

void runtime::request_stop()
{
    m_impl->request_stop();
}

endpoint runtime::http_address() const
{
    return m_impl->http_address();
}

endpoint runtime::peer_address() const
{
    return m_impl->peer_address();
}

} // namespace azureladder::node
