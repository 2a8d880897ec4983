#include "runtime_impl.hpp"

#include <azureladder/core/ownership.hpp>

#include <boost/asio/post.hpp>

#include <random>

namespace azureladder::node {

namespace {

/// Server threads reserved for the node's own endpoints, announcements and operators.
constexpr std::size_t reserved_threads = 16;

std::uint64_t random_id()
{
    std::random_device device;
    constexpr unsigned bits_per_draw = 32;
    return (std::uint64_t(device()) << bits_per_draw) | device();
}

http::server_options server_options_of(const settings::node_settings& settings)
{
    http::server_options options;
    options.m_listen_address = settings.m_http.m_listen;
    options.m_max_threads = settings.m_http.m_max_threads;
    options.m_max_body_bytes = settings.m_http.m_max_body_bytes;
    return options;
}

peer_gateway_options peer_options_of(const settings::node_settings& settings)
{
    peer_gateway_options options;
    options.m_transport.m_listen = settings.m_peer.m_listen;
    options.m_transport.m_advertised = settings.m_peer.m_advertise.value_or(endpoint());
    options.m_routes = settings.m_peer.m_routes;
    options.m_max_claim_body_bytes = settings.m_core_options.m_max_claim_body_bytes;
    return options;
}

telemetry::logger_options logger_options_of(const settings::node_settings& settings)
{
    telemetry::logger_options options;
    options.m_path = settings.m_log.m_file.value_or(std::string());
    options.m_minimum_level = settings.m_log.m_level;
    options.m_node = settings.m_node;
    return options;
}

core::node_identity identity_of(const settings::node_settings& settings)
{
    return {settings.m_node, settings.m_zone,
            settings.m_http.m_advertise.value_or(settings.m_http.m_listen),
            settings.m_peer.m_advertise.value_or(settings.m_peer.m_listen)};
}

std::size_t admission_limit_of(const settings::node_settings& settings)
{
    const std::size_t threads = settings.m_http.m_max_threads;
    return threads > 2 * reserved_threads ? threads - reserved_threads : threads / 2;
}

backend_gateway_options backend_options_of(const settings::node_settings& settings)
{
    backend_gateway_options options;
    options.m_max_claim_body_bytes = settings.m_core_options.m_max_claim_body_bytes;
    return options;
}

} // namespace

runtime_impl::runtime_impl(const settings::node_settings& settings, const clock& time,
                           platform::store& store)
    : m_settings(settings), m_clock(time), m_timer(m_io), m_request_timer(m_io),
      m_logger(time, logger_options_of(settings)),
      m_state(core::make_node_state(identity_of(settings), settings.m_core_options,
                                    settings.m_seed ? *settings.m_seed : random_id())),
      m_admission_gate(admission_limit_of(settings),
                       std::max<std::size_t>(1, admission_limit_of(settings) / 2)),
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
          m_io, peer_options_of(settings), time, random_id(),
          [this] { return core::self(m_state); }, make_peer_callbacks()),
      m_server(server_options_of(settings),
               [this](const http::request& input) { return handle_http(input); })
{
}

runtime_impl::~runtime_impl()
{
    m_server.stop();
    if (m_server_stop_thread.joinable())
        m_server_stop_thread.join();
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
    m_logger.write(log_level::info, "listening",
                   {{"http", to_string(http_address())}, {"peer", to_string(peer_address())}});
    return success();
}

endpoint runtime_impl::http_address() const
{
    return m_server.bound_address();
}

endpoint runtime_impl::peer_address() const
{
    return m_peers.advertised();
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
