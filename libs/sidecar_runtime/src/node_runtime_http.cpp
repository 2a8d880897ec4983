#include "node_runtime_impl.hpp"

#include <algorithm>

namespace azureladder::sidecar_runtime {

namespace {

/// Limit of the body of an announcement, a readiness probe or a request for metrics. Announcements
/// have a few hundred bytes.
constexpr std::uint64_t max_control_body_bytes = 64U * 1024;

std::string retry_after_value(duration wait)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(wait).count());
    return text;
}

} // namespace

http_session::callbacks node_runtime::impl::caller_callbacks()
{
    http_session::callbacks callbacks;
    callbacks.m_on_request = [this](const auto& session, std::uint64_t number,
                                    const http_request& request) {
        return on_caller_request({session, number}, request);
    };
    callbacks.m_on_disconnect = [this](const http_session& session, std::uint64_t number) {
        on_caller_disconnected(session, number);
    };
    callbacks.m_may_overlap = [this](const http_request& request) {
        const auto read = m_codec.decode_caller_request(request);
        const auto* arrived = std::get_if<sidecar::caller_request>(&read);
        return arrived != nullptr && is_idempotent(arrived->m_request);
    };
    callbacks.m_limits = [this] {
        return m_state.m_active_configuration.m_configuration
                   ? m_state.m_active_configuration.m_configuration->m_limits
                   : routing::client_limits{};
    };
    callbacks.m_is_draining = [this] { return m_state.m_stopping; };
    callbacks.m_on_rejected = [this](int status, const std::string& cause) {
        report(log_level::info, "request_rejected", {{"status", status}, {"cause", cause}});
    };
    callbacks.m_request_budget = &m_request_budget;
    callbacks.m_response_budget = &m_caller_response_budget;
    callbacks.m_on_dropped = [this](const char* cause) { count_dropped_client(cause); };
    callbacks.m_on_write = [this](bool is_started) {
        if (is_started)
            ++m_writing_sessions;
        else
            --m_writing_sessions;
    };
    return callbacks;
}

http_session::callbacks node_runtime::impl::default_callbacks(
    std::function<void(const caller_exchange&, const http_request&)> on_request)
{
    http_session::callbacks callbacks;
    callbacks.m_on_request = [handle = std::move(on_request)](const auto& session,
                                                              std::uint64_t number,
                                                              const http_request& request) {
        handle({session, number}, request);
        return false;
    };
    callbacks.m_on_disconnect = [](const http_session& /*session*/, std::uint64_t /*number*/) {};
    callbacks.m_limits = [] {
        routing::client_limits limits;
        limits.m_max_body_bytes = max_control_body_bytes;
        return limits;
    };
    callbacks.m_is_draining = [] { return false; };
    callbacks.m_on_rejected = [this](int status, const std::string& cause) {
        report(log_level::warning, "control_request_rejected",
               {{"status", status}, {"cause", cause}});
    };
    callbacks.m_request_budget = &m_request_budget;
    callbacks.m_response_budget = &m_caller_response_budget;
    callbacks.m_on_dropped = [this](const char* cause) { count_dropped_client(cause); };
    // An announcement of a backend server is valid although its sender does not wait any longer.
    callbacks.m_drops_abandoned_requests = false;
    return callbacks;
}

bool node_runtime::impl::is_request_of_disconnected_caller(const sidecar::event& input_event) const
{
    const auto* arrived = std::get_if<sidecar::caller_request>(&input_event);
    if (arrived == nullptr)
        return false;
    const auto exchange = m_exchange_of_caller.find(arrived->m_caller);
    return exchange == m_exchange_of_caller.end() ||
           !exchange->second.m_session->is_caller_connected();
}

void node_runtime::impl::respond(std::uint64_t caller, const http_response& response)
{
    const auto found = m_exchange_of_caller.find(caller);
    if (found == m_exchange_of_caller.end())
        return;
    const caller_exchange exchange = std::move(found->second);
    m_caller_of_exchange.erase({exchange.m_session.get(), exchange.m_number});
    m_exchange_of_caller.erase(found);
    exchange.m_session->respond(exchange.m_number, response);
}

void node_runtime::impl::execute(const sidecar::forward_response& command)
{
    const sidecar::server_response& response = *command.m_response;
    respond(command.m_caller, {response.m_status, response.m_headers, response.m_body});
}

void node_runtime::impl::execute(const sidecar::respond_to_caller& command)
{
    http_response response;
    response.m_status = command.m_status;
    response.m_headers = {{"Content-Type", "text/plain"}};
    if (command.m_retry_after > duration::zero())
        response.m_headers.push_back({"Retry-After", retry_after_value(command.m_retry_after)});
    if (command.m_status == 401)
        response.m_headers.push_back({"WWW-Authenticate", "Token"});
    response.m_body = command.m_reason + "\n";
    respond(command.m_caller, response);
}

void node_runtime::impl::count_dropped_client(const char* cause)
{
    m_metrics.add_counter("clients_dropped_total", 1, {{"cause", cause}});
}

bool node_runtime::impl::on_caller_request(const caller_exchange& exchange,
                                           const http_request& request)
{
    auto read = m_codec.decode_caller_request(request);
    if (const auto* error = std::get_if<decode_error>(&read)) {
        report(log_level::info, "request_malformed", {{"status", 400}, {"cause", error->m_reason}});
        exchange.m_session->respond(
            exchange.m_number, {400, {{"Content-Type", "text/plain"}}, error->m_reason + "\n"});
        return true;
    }
    auto& arrived = std::get<sidecar::caller_request>(read);
    arrived.m_caller = m_next_caller_id++;
    m_exchange_of_caller[arrived.m_caller] = exchange;
    m_caller_of_exchange[{exchange.m_session.get(), exchange.m_number}] = arrived.m_caller;
    const bool result = is_idempotent(arrived.m_request);
    enqueue(std::move(arrived));
    return result;
}

void node_runtime::impl::on_caller_disconnected(const http_session& session, std::uint64_t number)
{
    const auto found = m_caller_of_exchange.find({&session, number});
    if (found == m_caller_of_exchange.end()) {
        m_metrics.add_counter("disconnects_before_dispatch_total", 1, {});
        return;
    }
    const std::uint64_t caller = found->second;
    m_caller_of_exchange.erase(found);
    m_exchange_of_caller.erase(caller);
    enqueue(sidecar::caller_disconnected{caller});
}

bool node_runtime::impl::is_idempotent(const sidecar::forwarded_request& request) const
{
    const auto& configuration = m_state.m_active_configuration.m_configuration;
    const routing::route* route =
        configuration ? routing::find_route(*configuration, request.m_host, request.m_target)
                      : nullptr;
    return route != nullptr && route->m_kind == routing::request_kind::idempotent;
}

void node_runtime::impl::on_registry_request(const caller_exchange& exchange,
                                             const http_request& request)
{
    auto message = m_codec.decode_registry_message(request);
    if (const auto* error = std::get_if<decode_error>(&message)) {
        report(log_level::warning, "announcement_unreadable", {{"cause", error->m_reason}});
        exchange.m_session->respond(
            exchange.m_number, {400, {{"Content-Type", "text/plain"}}, error->m_reason + "\n"});
        return;
    }
    const std::uint64_t number = m_next_registry_message++;
    m_exchange_of_registry_message[number] = exchange;
    if (auto* announced = std::get_if<sidecar::backend_announced>(&message)) {
        announced->m_message = number;
        if (announced->m_announcement.m_service != m_state.m_options.m_service)
            refresh_service();
        enqueue(std::move(*announced));
    } else {
        auto& removed = std::get<sidecar::backend_removed>(message);
        removed.m_received_ms = m_clock.wall_time_us() / 1000;
        removed.m_message = number;
        enqueue(removed);
    }
    process_events();
}

void node_runtime::impl::respond_to_registry_message(std::uint64_t number,
                                                     const http_response& response)
{
    const auto found = m_exchange_of_registry_message.find(number);
    if (found == m_exchange_of_registry_message.end())
        return;
    const caller_exchange exchange = std::move(found->second);
    m_exchange_of_registry_message.erase(found);
    exchange.m_session->respond(exchange.m_number, response);
}

void node_runtime::impl::execute(const sidecar::respond_to_backend& command)
{
    http_response response{200, {{"Content-Type", "application/json"}}, "{}"};
    if (!command.m_is_acknowledged)
        response = {503, {{"Content-Type", "text/plain"}}, "departure is not acknowledged\n"};
    respond_to_registry_message(command.m_message, response);
}

void node_runtime::impl::on_readiness_probe(const caller_exchange& exchange,
                                            const http_request& request)
{
    const int status =
        !m_codec.is_readiness_probe(request) ? 404 : (sidecar::is_ready(m_state) ? 200 : 503);
    exchange.m_session->respond(exchange.m_number,
                                {status, {{"Content-Type", "text/plain"}}, "\n"});
}

void node_runtime::impl::on_metrics_request(const caller_exchange& exchange)
{
    exchange.m_session->respond(
        exchange.m_number, {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_text()});
}

std::string node_runtime::impl::metrics_text()
{
    m_metrics.set_gauge("open_requests", static_cast<double>(m_state.m_requests.size()));
    m_metrics.set_gauge("gate_running",
                        static_cast<double>(m_state.m_admission_controller.m_running.size()));
    m_metrics.set_gauge("gate_waiting",
                        static_cast<double>(m_state.m_admission_controller.m_waiting.size()));
    m_metrics.set_gauge("gate_bodies_in_transfer",
                        static_cast<double>(m_state.m_separate_bodies.m_in_transfer.size()));
    m_metrics.set_gauge("gate_body_bytes",
                        static_cast<double>(m_state.m_separate_bodies.m_memory_bytes));
    m_metrics.set_gauge("gate_limit", m_state.m_admission_controller.m_limit);
    m_metrics.set_gauge("gate_new_request_share",
                        m_state.m_admission_controller.m_new_request_share);
    m_metrics.set_counter("gate_demoted_total", m_state.m_admission_controller.m_demoted_count);
    m_metrics.set_counter("gate_queued_late_total",
                          m_state.m_admission_controller.m_queued_late_count);
    m_metrics.set_counter("gate_late_starts_total",
                          m_state.m_admission_controller.m_late_start_count);
    m_metrics.set_gauge("quota_buckets", static_cast<double>(m_state.m_quotas.m_buckets.size()));
    m_metrics.set_gauge("departures_unstored",
                        static_cast<double>(m_state.m_unstored_departures.size()));
    m_metrics.set_gauge("departures_unacknowledged",
                        static_cast<double>(m_state.m_pending_acknowledgements.size()));
    m_metrics.set_gauge("peers", static_cast<double>(m_state.m_peers.size()));
    m_metrics.set_counter("store_calls_total", m_store_client.call_count());
    m_metrics.set_counter("log_lines_dropped_total", m_log.dropped_lines());
    for (const auto& [event, count] : m_event_counts)
        m_metrics.set_counter("events_total", count, {{"event", event}});
    for (std::size_t kind = 0; kind < m_peer_traffic.size(); ++kind) {
        const frame_traffic& traffic = m_peer_traffic[kind];
        const telemetry::metric_labels labels{
            {"kind", std::string(sidecar::frame_kind_names[kind])}};
        m_metrics.set_counter("peer_frames_sent_total", traffic.m_frames, labels);
        m_metrics.set_counter("peer_bytes_sent_total", traffic.m_bytes, labels);
        m_metrics.set_counter("peer_send_queue_wait_us_total",
                              static_cast<std::uint64_t>(traffic.m_total_wait.count()), labels);
    }
    return m_metrics.prometheus_text();
}

} // namespace azureladder::sidecar_runtime
