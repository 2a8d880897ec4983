#include "runtime_impl.hpp"

#include <azureladder/core/directory.hpp>
#include <azureladder/core/ownership.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace azureladder::node {

namespace {

/// Interval between updates of the gauges.
constexpr duration gauge_interval = seconds(1);

/// Shortest delay of the request timer, which bounds its rate.
constexpr duration min_request_timer_delay = milliseconds(1);

} // namespace

int runtime_impl::run()
{
    const auto work = boost::asio::make_work_guard(m_io);
    schedule_tick(m_clock.now() + m_settings.m_core_options.m_tick_interval);
    m_io.run();
    return m_exit_code;
}

void runtime_impl::request_stop()
{
    boost::asio::post(m_io, [this] { begin_stop(); });
}

void runtime_impl::schedule_tick(time_point due)
{
    m_next_tick = due;
    const auto wait = std::max(due - m_clock.now(), duration(0));
    // Cancels an earlier wait, whose handler is called with an error.
    m_timer.expires_after(wait);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        on_tick();
        schedule_tick(core::next_tick(m_state, m_clock.now()));
    });
}

/// Reschedules the next tick when an event requires an earlier one.
void runtime_impl::reschedule_tick()
{
    const auto now = m_clock.now();
    if (m_next_tick <= now + m_settings.m_core_options.m_tick_interval)
        return;
    const auto due = core::next_tick(m_state, now);
    if (due < m_next_tick)
        schedule_tick(due);
}

void runtime_impl::schedule_request_timer()
{
    const auto& timers = m_state.m_routing.m_timers;
    const auto next = timers.empty() ? time_point::max() : timers.begin()->first;
    const auto now = m_clock.now();
    // The next tick handles later deadlines, and an earlier expiry checks the deadlines again.
    if (next >= now + m_settings.m_core_options.m_tick_interval || m_request_timer_due <= next)
        return;
    m_request_timer_due = next;
    m_request_timer.expires_after(std::max(next - now, min_request_timer_delay));
    m_request_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        m_request_timer_due = time_point::max();
        const auto& pending = m_state.m_routing.m_timers;
        if (!pending.empty() && pending.begin()->first <= m_clock.now())
            on_tick();
        else
            schedule_request_timer();
    });
}

void runtime_impl::on_tick()
{
    // After a pause of the process, received messages are handled before timeouts: a witness must
    // not expire a lease while its renewal is in the receive buffer.
    const auto now = m_clock.now();
    if (now - m_last_tick > m_settings.m_core_options.m_lease_duration / 2)
        m_peers.receive_pending();
    m_last_tick = now;
    handle(core::timer_tick{});
    m_ready = core::accepts_new_work(m_state, m_clock.now()) && !m_stop_requested;
    if (m_clock.now() >= m_next_gauge_update) {
        m_next_gauge_update = m_clock.now() + gauge_interval;
        update_gauges();
    }
    if (m_stop_requested)
        advance_stop();
}

void runtime_impl::handle(const core::event& input)
{
    const auto output = core::step(m_state, m_clock.now(), input);
    // A step that begins the next incarnation first ends the ownership of the former one; its log
    // lines have the former incarnation.
    for (const auto& requested_effect : output)
        execute(requested_effect);
    m_logger.set_incarnation(m_state.m_incarnation);
    if (!std::holds_alternative<core::timer_tick>(input))
        reschedule_tick();
    schedule_request_timer();
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
    m_logger.write(log_level::info, "stop_requested", json::object());
    handle(core::stop_requested{});
}

void runtime_impl::advance_stop()
{
    const auto elapsed = m_clock.now() - m_stop_started;
    const bool timed_out = elapsed >= m_settings.m_stop_timeout;
    const bool finished = m_slices_released && m_requests.empty();
    if (m_server_stop_thread.joinable() || elapsed < m_settings.m_stop_grace ||
        !(finished || timed_out))
        return;
    m_exit_code = finished ? 0 : 1;
    m_logger.write(finished ? log_level::info : log_level::error, "node_stopped",
                   {{"open_requests", m_requests.size()},
                    {"slices_released", m_slices_released},
                    {"revision", m_state.m_configuration.m_document.m_revision}});
    m_server.reject_new_requests();
    // Handlers that still wait for responses need the loop, so another thread stops the server.
    m_server_stop_thread = std::thread([this] {
        m_server.stop();
        boost::asio::post(m_io, [this] {
            m_peers.stop();
            m_io.stop();
        });
    });
}

} // namespace azureladder::node
