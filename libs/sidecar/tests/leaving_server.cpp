#include "leaving_server.hpp"

#include "connected_node.hpp"
#include "step_context.hpp"

namespace azureladder::sidecar {

namespace {

/// Time of day at `start_time`, in Unix milliseconds, and start of the server.
constexpr std::int64_t start_ms = 1'000'000;
constexpr std::int64_t server_start_ms = start_ms + 100;

} // namespace

leaving_server::leaving_server() : m_now(start_time), m_next_announcement_at(start_time)
{
    restart();
}

void leaving_server::restart(duration clock_step)
{
    m_state = make_connected_node({}, "orders");
    auto configuration = std::make_shared<routing::routing_configuration>(
        *m_state.m_active_configuration.m_configuration);
    configuration->m_services.at("orders").m_health_check_path = "/health";
    m_state.m_active_configuration.m_configuration = configuration;
    m_state.m_options.m_started_at_ms = start_ms + to_ms(m_now - start_time + clock_step);
    m_state.m_started_at = m_state.m_last_tick = m_now;
    m_state.m_current_announcements_from = m_now + m_state.m_options.m_max_announcement_delay;
    m_is_down = false;
}

void leaving_server::receive(const event& input)
{
    for (const effect& done : step(m_state, input, m_now)) {
        if (const auto* response = std::get_if<respond_to_backend>(&done)) {
            m_responses[response->m_message] = response->m_is_acknowledged;
        } else if (const auto* check = std::get_if<check_backend>(&done)) {
            ++m_checks;
            const auto result = m_is_unresponsive  ? backend_check_result::unanswered
                                : m_is_uncheckable ? backend_check_result::inconclusive
                                : m_is_leaving     ? backend_check_result::out_of_service
                                                   : backend_check_result::in_service;
            receive(backend_checked{check->m_check, result, ""});
        }
    }
}

void leaving_server::send_announcement()
{
    backend_announcement announcement;
    announcement.m_id = "i-1";
    announcement.m_service = "orders";
    announcement.m_address = "10.0.0.1:8301";
    announcement.m_slots = 4;
    announcement.m_started_at_ms = server_start_ms;
    announcement.m_draining = m_is_draining;
    announcement.m_sequence = ++m_sequence;
    m_under_way.emplace(m_now + m_delay,
                        backend_announced{announcement, static_cast<std::uint64_t>(m_sequence)});
}

void leaving_server::run_for(duration time)
{
    for (const time_point end = m_now + time; m_now < end; m_now += tick) {
        if (m_is_announcing && m_now >= m_next_announcement_at) {
            send_announcement();
            m_next_announcement_at =
                m_now + std::chrono::duration_cast<duration>(heartbeat * m_interval_share);
        }
        while (!m_under_way.empty() && m_under_way.begin()->first <= m_now) {
            const backend_announced arrived = m_under_way.begin()->second;
            m_under_way.erase(m_under_way.begin());
            if (!m_is_down)
                receive(arrived);
        }
        if (!m_is_down)
            receive(timer_tick{});
    }
}

void leaving_server::remove()
{
    m_is_announcing = false;
    m_is_leaving = true;
    receive(backend_removed{"i-1", start_ms + to_ms(m_now - start_time), removal});
    m_removed_at = m_now;
}

bool leaving_server::is_acknowledged(std::uint64_t message) const
{
    const auto found = m_responses.find(message);
    return found != m_responses.end() && found->second;
}

duration leaving_server::run_until_acknowledged(duration limit, std::uint64_t message)
{
    while (!is_acknowledged(message) && m_now - m_removed_at < limit)
        run_for(tick);
    return m_now - m_removed_at;
}

bool leaving_server::is_used() const
{
    return accepts_requests(m_state, m_now);
}

bool leaving_server::is_used_later()
{
    for (const time_point end = m_now + seconds(12); m_now < end; run_for(tick)) {
        if (is_used())
            return true;
    }
    return is_used();
}

} // namespace azureladder::sidecar
