#include "node_runtime_impl.hpp"

#include <azureladder/base/scope_guard.hpp>

#include <boost/asio/post.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <random>

namespace azureladder::sidecar_runtime {

namespace {

/// Interval of the reducer's timer ticks, a fraction of its shortest timeout.
constexpr milliseconds tick_interval{25};

constexpr seconds traffic_report_interval{10};

/// Shortest time between two reads of the settings because of an announcement of another service.
constexpr seconds service_refresh_interval{1};

/// Shortest time for which a stopping process sends its last responses and frames.
constexpr milliseconds min_output_time{300};

/// Time between the last output and the end of the process.
constexpr milliseconds closing_time{50};

/// The node exits this long before the stop grace period ends.
constexpr milliseconds stop_margin{500};

/// Fraction of the configured retry ratio that this node uses. The configured limit applies to
/// executions at the backend servers, counted in sliding windows.
constexpr double retry_ratio_share = 0.7;

/// Fraction of the configured retry slack that all nodes together use. The rest covers calls of
/// repeated executions beyond their mean.
constexpr double retry_slack_share = 0.7;

/// Fractions of the process's memory for the responses of the backend server and of the store. The
/// store's part has room for several pages of 1.5 MB on the smallest VM.
constexpr double backend_response_share = 0.15;
constexpr double store_response_share = 0.1;

/// Status of a request whose handling failed. It says nothing about an execution.
constexpr int failed_handler_status = 500;

/// Fractions for requests until their response is ready, and for responses that wait for slow
/// callers.
constexpr double request_share = 0.2;
constexpr double caller_response_share = 0.15;

/// Fraction for frames of peers that have arrived in part, and for those to send. As large as that
/// of requests, so that each accepted request can be sent.
constexpr double peer_frame_share = 0.2;

/// Fraction for responses that are retained until their ingress must have received them.
constexpr double retained_response_share = 0.15;

/// Part of the link on which the node receives bodies for its backend server. The rest is left to
/// calls, pings and requests of callers: at 14 uploads of 60 KB a second these need 6.7 of 10
/// Mbit/s, so the limit of bulk data that a node sends would refuse some of them.
constexpr double body_link_share = 0.85;

constexpr double bytes_per_s_and_mbps = 1e6 / 8;

/// Fraction for the bodies that the node receives for its backend server. Their copies for sending
/// take as much again.
constexpr double body_share = 0.1;

std::size_t memory_share(const sidecar_settings& settings, double share)
{
    constexpr double bytes_per_mb = 1e6;
    return static_cast<std::size_t>(static_cast<double>(settings.m_memory_mb) * bytes_per_mb *
                                    share);
}

std::uint64_t random_u64()
{
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32 | device();
}

/// Number of the registry message that an event stems from; 0 if it stems from none.
std::uint64_t registry_message_of(const sidecar::event& input_event)
{
    if (const auto* announced = std::get_if<sidecar::backend_announced>(&input_event))
        return announced->m_message;
    const auto* removed = std::get_if<sidecar::backend_removed>(&input_event);
    return removed == nullptr ? 0 : removed->m_message;
}

sidecar::node_options make_node_options(const sidecar_settings& settings, const clock& time)
{
    sidecar::node_options options;
    options.m_node = settings.m_node;
    options.m_incarnation = random_u64();
    options.m_started_at_ms = time.wall_time_us() / 1000;
    options.m_zone = settings.m_zone;
    options.m_service = settings.m_service;
    options.m_peer_address = to_string(settings.m_peer_address);
    options.m_retry.m_tokens_per_request = settings.m_retry_ratio * retry_ratio_share;
    options.m_retry.m_max_total_tokens = settings.m_retry_slack * retry_slack_share;
    options.m_quota.m_window = milliseconds(settings.m_quota_window_ms);
    options.m_quota.m_over = settings.m_quota_over;
    options.m_quota.m_slack = settings.m_quota_slack;
    options.m_drain_start_window = milliseconds(settings.m_drain_ms) / 2;
    options.m_server_selection.m_uses_target = settings.m_selection_by_target;
    options.m_link_mbps = settings.m_link_mbps;
    options.m_places_keys_by_speed = settings.m_placement_by_speed;
    options.m_max_retained_bytes = memory_share(settings, retained_response_share);
    sidecar::set_max_stop_time(options, milliseconds(settings.m_stop_grace_ms) - stop_margin);
    return options;
}

store_client_options make_store_options(const sidecar_settings& settings)
{
    store_client_options options;
    options.m_node = settings.m_node;
    options.m_peer_address = to_string(settings.m_peer_address);
    options.m_address = settings.m_store_address;
    return options;
}

} // namespace

node_runtime::impl::impl(const sidecar_settings& settings, std::string settings_path,
                         const protocol_codec& codec, const clock& time)
    : m_settings(settings), m_settings_path(std::move(settings_path)), m_codec(codec),
      m_clock(time), m_backend_response_budget(memory_share(settings, backend_response_share)),
      m_store_response_budget(memory_share(settings, store_response_share)),
      m_request_budget(memory_share(settings, request_share)),
      m_caller_response_budget(memory_share(settings, caller_response_share)),
      m_peer_input_budget(memory_share(settings, peer_frame_share)),
      m_peer_output_budget(memory_share(settings, peer_frame_share)),
      m_connection_limits(connection_limits_for(descriptor_limit())),
      m_options(make_node_options(settings, time)),
      m_log(time, {m_options.m_node, m_options.m_incarnation}, STDOUT_FILENO),
      m_state(sidecar::make_node(m_options, time.now(), random_u64())),
      m_backend_connections(
          m_io, codec, m_backend_response_budget, {},
          [this](sidecar::event input_event) { enqueue(std::move(input_event)); }),
      m_key_commands(m_io, time, codec, m_backend_response_budget, {},
                     [this](sidecar::event input_event) { enqueue(std::move(input_event)); }),
      m_backend_checker(m_io, codec, m_backend_response_budget, {},
                        [this](sidecar::event input_event) { enqueue(std::move(input_event)); }),
      m_store_client(
          m_io, time, codec, m_store_response_budget, make_store_options(settings),
          [this](sidecar::event input_event) { enqueue(std::move(input_event)); },
          [this](log_level level, std::string_view event, const json& fields) {
              report(level, event, fields);
          },
          [this] { return sidecar::check_turn_of(m_state); }),
      m_peer_acceptor(m_io), m_peer_accept_timer(m_io), m_tick_timer(m_io),
      m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
{
    std::signal(SIGPIPE, SIG_IGN);
    m_link_callbacks.m_on_frame = [this](std::uint64_t link, sidecar::peer_frame frame) {
        enqueue(sidecar::frame_received{link, std::move(frame)});
    };
    m_link_callbacks.m_on_closed = [this](std::uint64_t link) {
        m_links.erase(link);
        enqueue(sidecar::link_closed{link});
    };
    m_link_callbacks.m_on_malformed = [this](std::uint64_t link, std::size_t count) {
        const auto peer = m_state.m_node_of_link.find(link);
        report(log_level::warning, "peer_frames_malformed",
               {{"peer", peer == m_state.m_node_of_link.end() ? std::string() : peer->second},
                {"link", link},
                {"frames", count}});
    };
    m_link_callbacks.m_on_sent = [this](std::uint64_t link, const peer_link::sent_frame& frame) {
        on_frame_sent(link, frame);
    };
    m_link_callbacks.m_on_held_back = [this](std::uint64_t link) {
        m_held_back_links.insert(link);
    };
    m_link_callbacks.m_input_budget = &m_peer_input_budget;
    m_link_callbacks.m_output_budget = &m_peer_output_budget;
    m_bulk_pacer = make_bulk_pacer(m_settings.m_link_mbps);
    const tcp::endpoint peer_address = to_tcp_endpoint(m_settings.m_peer_address);
    m_peer_acceptor.open(peer_address.protocol());
    m_peer_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_peer_acceptor.bind(peer_address);
    m_peer_acceptor.listen();
    m_caller_listener = std::make_unique<http_listener>(
        m_io, m_settings.m_caller_address, caller_callbacks(), m_connection_limits.m_callers);
    m_registry_listener = std::make_unique<http_listener>(
        m_io, m_settings.m_registry_address,
        default_callbacks([this](const auto& exchange, const http_request& request) {
            on_registry_request(exchange, request);
        }),
        m_connection_limits.m_control);
    m_ready_listener = std::make_unique<http_listener>(
        m_io, m_settings.m_ready_address,
        default_callbacks([this](const auto& exchange, const http_request& request) {
            on_readiness_probe(exchange, request);
        }),
        m_connection_limits.m_control);
    m_metrics_listener = std::make_unique<http_listener>(
        m_io, m_settings.m_metrics_address,
        default_callbacks([this](const auto& exchange, const http_request& /*request*/) {
            on_metrics_request(exchange);
        }),
        m_connection_limits.m_control);
}

void node_runtime::impl::run()
{
    m_log.write(log_level::info, "node_started",
                {{"zone", m_settings.m_zone},
                 {"service", m_settings.m_service},
                 {"peer_address", to_string(m_settings.m_peer_address)},
                 {"store", to_string(m_settings.m_store_address)}});
    accept_peers();
    wait_for_signal();
    tick();
    m_store_client.start();
    run_event_loop();
}

void node_runtime::impl::run_event_loop()
{
    while (!m_io.stopped()) {
        try {
            m_io.run();
        } catch (const std::exception& error) {
            report_exception("event_loop", error);
        }
    }
}

void node_runtime::impl::report(log_level level, std::string_view event, const json& fields)
{
    ++m_event_counts[std::string(event)];
    m_log.write(level, event, fields);
}

void node_runtime::impl::report_exception(const char* handler, const std::exception& error)
{
    report(log_level::error, "handler_failed", {{"handler", handler}, {"cause", error.what()}});
}

void node_runtime::impl::enqueue(sidecar::event input_event)
{
    m_events.push(std::move(input_event));
    if (m_is_processing || m_is_processing_scheduled)
        return;
    m_is_processing_scheduled = true;
    asio::post(m_io, [this] {
        m_is_processing_scheduled = false;
        process_events();
    });
}

void node_runtime::impl::process_events()
{
    if (m_is_processing)
        return;
    m_is_processing = true;
    const scope_guard done([this] { m_is_processing = false; });
    while (const auto next = m_events.pop())
        process_event(*next);
}

void node_runtime::impl::process_event(const sidecar::event& input_event)
{
    if (is_request_of_disconnected_caller(input_event))
        return;
    sidecar::effects commands;
    try {
        commands = sidecar::step(m_state, input_event, m_clock.now());
    } catch (const std::exception& error) {
        report_exception("event", error);
        if (const auto* arrived = std::get_if<sidecar::caller_request>(&input_event))
            respond(arrived->m_caller, {failed_handler_status, {}, "request failed\n"});
        respond_to_registry_message(registry_message_of(input_event),
                                    {failed_handler_status, {}, "message failed\n"});
    }
    for (const auto& command : commands) {
        try {
            execute_effect(command);
        } catch (const std::exception& error) {
            report_exception("effect", error);
        }
    }
}

void node_runtime::impl::execute_effect(const sidecar::effect& command)
{
    std::visit([this](const auto& value) { execute(value); }, command);
}

void node_runtime::impl::execute(const sidecar::decode_configuration& command)
{
    auto decoded = m_codec.decode_routing_configuration(command.m_text);
    if (const auto* error = std::get_if<decode_error>(&decoded)) {
        report(log_level::error, "configuration_unreadable",
               {{"revision", command.m_revision}, {"cause", error->m_reason}});
        return;
    }
    auto configuration = std::make_shared<routing::routing_configuration>(
        std::get<routing::routing_configuration>(std::move(decoded)));
    routing::index_routes(*configuration);
    for (const auto& defect : configuration->m_defects) {
        report(log_level::error, "configuration_entry_unusable",
               {{"revision", command.m_revision},
                {"version", configuration->m_version},
                {"entry", defect.m_entry},
                {"cause", defect.m_cause}});
        m_metrics.add_counter("configuration_defects_total", 1, {{"entry", defect.m_entry}});
    }
    enqueue(sidecar::configuration_decoded{command.m_revision, command.m_text,
                                           std::move(configuration)});
}

void node_runtime::impl::execute(const sidecar::record_request& command)
{
    // Metrics label a request with its class, which has the same order as the priority. The
    // platform does not identify the organisation of a caller.
    const auto priority = static_cast<request_class>(
        std::min(command.m_priority, static_cast<std::uint32_t>(request_class::batch)));
    m_metrics.record_request(command.m_service, command.m_caller_service, priority,
                             command.m_outcome, command.m_latency);
}

void node_runtime::impl::execute(const sidecar::log_line& command)
{
    ++m_event_counts[command.m_event];
    m_log.write(command.m_level, command.m_event, command.m_fields);
}

void node_runtime::impl::execute(const sidecar::stop_process& /*wanted*/)
{
    if (m_is_ending)
        return;
    m_is_ending = true;
    m_end_deadline = std::max(m_clock.now() + min_output_time,
                              m_state.m_stop_requested_at + m_state.m_options.m_max_stop_time);
    finish_stop();
}

bool node_runtime::impl::has_unsent_output() const
{
    return m_writing_sessions > 0 ||
           std::any_of(m_links.begin(), m_links.end(),
                       [](const auto& entry) { return entry.second->has_unsent_frames(); });
}

void node_runtime::impl::finish_stop()
{
    if (m_is_output_sent || (has_unsent_output() && m_clock.now() < m_end_deadline))
        return;
    m_is_output_sent = true;
    m_log.flush();
    // The connections are closed after a short time in which their input is still read. Closing
    // with unread input resets a connection, and its peer may lose the last frames.
    for (const auto& [id, link] : m_links)
        link->finish();
    m_tick_timer.cancel();
    m_tick_timer.expires_after(closing_time);
    m_tick_timer.async_wait([this](error_code error) {
        if (!error)
            m_io.stop();
    });
}

void node_runtime::impl::tick()
{
    enqueue(sidecar::timer_tick{});
    resume_held_back_links();
    if (m_is_ending)
        finish_stop();
    if (m_is_output_sent)
        return;
    if (m_clock.now() >= m_next_traffic_report) {
        if (m_next_traffic_report != time_point{})
            log_peer_traffic();
        m_next_traffic_report = m_clock.now() + traffic_report_interval;
    }
    m_log.flush();
    m_tick_timer.expires_after(tick_interval);
    m_tick_timer.async_wait([this](error_code error) {
        if (!error)
            tick();
    });
}

void node_runtime::impl::wait_for_signal()
{
    m_signals.async_wait([this](error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reload_settings();
        else
            enqueue(sidecar::stop_requested{});
        wait_for_signal();
    });
}

void node_runtime::impl::refresh_service()
{
    if (m_clock.now() < m_next_service_refresh)
        return;
    m_next_service_refresh = m_clock.now() + service_refresh_interval;
    std::vector<field_error> errors;
    const sidecar_settings read = load_settings(m_settings_path, errors);
    if (!errors.empty() || read.m_service == m_state.m_options.m_service)
        return;
    report(log_level::warning, "service_changed",
           {{"former", m_state.m_options.m_service}, {"service", read.m_service}});
    m_settings.m_service = m_state.m_options.m_service = read.m_service;
}

void node_runtime::impl::reload_settings()
{
    std::vector<field_error> errors;
    const sidecar_settings read = load_settings(m_settings_path, errors);
    if (!errors.empty()) {
        report(log_level::error, "settings_rejected",
               {{"field", errors.front().m_path}, {"cause", errors.front().m_message}});
        return;
    }
    m_settings.m_retry_ratio = read.m_retry_ratio;
    m_settings.m_drain_ms = read.m_drain_ms;
    m_settings.m_stop_grace_ms = read.m_stop_grace_ms;
    const sidecar::node_options reloaded_options = make_node_options(m_settings, m_clock);
    m_state.m_options.m_retry = reloaded_options.m_retry;
    m_state.m_options.m_drain_start_window = reloaded_options.m_drain_start_window;
    sidecar::set_max_stop_time(m_state.m_options, reloaded_options.m_max_stop_time);
    m_log.write(log_level::info, "settings_reloaded", {{"path", m_settings_path}});
}

} // namespace azureladder::sidecar_runtime
