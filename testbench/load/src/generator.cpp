#include "generator.hpp"

#include "request_text.hpp"

#include <algorithm>

namespace azureladder::load {

namespace {

using boost::system::error_code;

constexpr duration expiry_check_interval = milliseconds(20);

call_outcome not_executed(const char* name)
{
    call_outcome outcome;
    outcome.m_name = name;
    outcome.m_executed = executed::no;
    return outcome;
}

call_outcome unknown(const char* name)
{
    call_outcome outcome;
    outcome.m_name = name;
    return outcome;
}

} // namespace

generator::generator(boost::asio::io_context& context, const load_settings& settings,
                     const clock& time, call_log& log)
    : m_context(context), m_settings(settings), m_clock(time), m_log(log), m_schedule(settings),
      m_statistics(settings), m_targets(settings.m_targets.size()), m_arrival_timer(context),
      m_expiry_timer(context)
{
}

void generator::start(std::function<void()> on_finished)
{
    m_on_finished = std::move(on_finished);
    m_start = m_clock.now();
    m_next = m_schedule.next();
    schedule_arrival();
    schedule_expiry_check();
}

void generator::stop_issuing()
{
    m_next.reset();
    m_arrival_timer.cancel();
    end_if_finished();
}

json generator::report() const
{
    return m_statistics.report((m_end == time_point() ? m_clock.now() : m_end) - m_start);
}

void generator::schedule_arrival()
{
    if (!m_next) {
        end_if_finished();
        return;
    }
    m_arrival_timer.expires_after(m_start + m_next->m_arrival - m_clock.now());
    m_arrival_timer.async_wait([this](const error_code& error) {
        if (!error)
            issue_due();
    });
}

void generator::issue_due()
{
    while (m_next && m_start + m_next->m_arrival <= m_clock.now()) {
        const auto scheduled = m_start + m_next->m_arrival;
        m_statistics.started(*m_next, m_clock.now() - scheduled);
        const auto& service = m_settings.m_services[m_next->m_service];
        std::string key;
        if (service.m_methods[m_next->m_method].m_has_idempotency_key)
            key = m_settings.m_id_prefix + "-key-" + std::to_string(m_issued);
        issue(std::move(*m_next), scheduled, std::move(key), 0);
        m_next = m_schedule.next();
    }
    schedule_arrival();
}

void generator::issue(planned_call plan, time_point scheduled, std::string idempotency_key,
                      std::uint32_t repeat)
{
    auto issued = std::make_unique<call>();
    issued->m_plan = std::move(plan);
    issued->m_request_id = m_settings.m_id_prefix + "-" + std::to_string(m_issued++);
    issued->m_idempotency_key = std::move(idempotency_key);
    issued->m_scheduled = scheduled;
    issued->m_deadline =
        m_clock.now() + m_settings.m_services[issued->m_plan.m_service].m_timeout + timeout_grace;
    issued->m_repeat = repeat;
    ++m_outstanding;
    m_log.started(*issued);
    assign(std::move(issued));
}

void generator::assign(std::unique_ptr<call> issued)
{
    auto& target = m_targets[issued->m_plan.m_target];
    if (!target.m_idle.empty()) {
        const auto connection = std::move(target.m_idle.back());
        target.m_idle.pop_back();
        auto text = request_text(m_settings, *issued);
        connection->m_call = std::move(issued);
        connection->send(std::move(text));
    } else if (target.m_open < m_settings.m_connections) {
        open_connection(std::move(issued));
    } else if (target.m_waiting.size() < m_settings.m_max_waiting) {
        m_statistics.waited_for_connection();
        target.m_waiting.push_back(std::move(issued));
    } else {
        finish(std::move(issued), not_executed("not_sent"));
    }
}

void generator::open_connection(std::unique_ptr<call> issued)
{
    const auto target = issued->m_plan.m_target;
    ++m_targets[target].m_open;
    auto connection = std::make_shared<http_connection>(
        m_context, static_cast<connection_events&>(*this), target);
    connection->m_call = std::move(issued);
    m_connections.insert(connection);
    connection->connect(m_settings.m_targets[target]);
}

void generator::assign_waiting(std::uint32_t target)
{
    auto& state = m_targets[target];
    while (!state.m_waiting.empty() &&
           (!state.m_idle.empty() || state.m_open < m_settings.m_connections)) {
        auto issued = std::move(state.m_waiting.front());
        state.m_waiting.pop_front();
        assign(std::move(issued));
    }
}

void generator::drop(http_connection& connection)
{
    const auto self = connection.shared_from_this();
    auto& target = m_targets[connection.target()];
    target.m_idle.erase(std::remove(target.m_idle.begin(), target.m_idle.end(), self),
                        target.m_idle.end());
    --target.m_open;
    m_connections.erase(self);
    connection.close();
}

void generator::connected(http_connection& connection, bool is_connected)
{
    if (is_connected) {
        connection.send(request_text(m_settings, *connection.m_call));
        return;
    }
    auto issued = std::move(connection.m_call);
    const auto target = connection.target();
    drop(connection);
    connect_to_next_target(std::move(issued));
    assign_waiting(target);
}

void generator::connect_to_next_target(std::unique_ptr<call> issued)
{
    ++issued->m_connect_attempts;
    if (issued->m_connect_attempts >= m_settings.m_connect_attempts) {
        finish(std::move(issued), not_executed("connect_failed"));
        return;
    }
    // Nothing was sent, so trying another node cannot cause a second execution.
    issued->m_plan.m_target = (issued->m_plan.m_target + 1) % std::uint32_t(m_targets.size());
    assign(std::move(issued));
}

void generator::replied(http_connection& connection, exchange_state state, const http_reply& reply)
{
    auto issued = std::move(connection.m_call);
    const auto target = connection.target();
    if (state == exchange_state::complete && reply.m_keep_alive)
        m_targets[target].m_idle.push_back(connection.shared_from_this());
    else
        drop(connection);
    finish(std::move(issued), outcome_of(state, reply));
    assign_waiting(target);
}

void generator::idle_connection_closed(http_connection& connection)
{
    const auto target = connection.target();
    drop(connection);
    assign_waiting(target);
}

void generator::finish(std::unique_ptr<call> issued, const call_outcome& outcome)
{
    m_statistics.finished(*issued, outcome, m_clock.now() - issued->m_scheduled);
    m_log.finished(*issued, outcome);
    const auto& method =
        m_settings.m_services[issued->m_plan.m_service].m_methods[issued->m_plan.m_method];
    if (outcome.m_executed == executed::unknown && issued->m_repeat < method.m_repeats)
        schedule_repeat(*issued);
    --m_outstanding;
    end_if_finished();
}

void generator::schedule_repeat(const call& issued)
{
    ++m_outstanding;
    m_statistics.repeated();
    const auto due = m_clock.now() + m_settings.m_repeat_delay;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_settings.m_repeat_delay);
    timer->async_wait([this, timer, due, plan = issued.m_plan, key = issued.m_idempotency_key,
                       repeat = issued.m_repeat + 1](const error_code&) {
        auto next = plan;
        next.m_target = (plan.m_target + 1) % std::uint32_t(m_targets.size());
        issue(std::move(next), due, key, repeat);
        --m_outstanding;
    });
}

void generator::schedule_expiry_check()
{
    m_expiry_timer.expires_after(expiry_check_interval);
    m_expiry_timer.async_wait([this](const error_code& error) {
        if (error)
            return;
        expire_calls();
        if (m_end == time_point())
            schedule_expiry_check();
    });
}

void generator::expire_calls()
{
    const auto now = m_clock.now();
    const auto has_expired = [&](const std::unique_ptr<call>& issued) {
        return issued && issued->m_deadline <= now;
    };
    for (auto& target : m_targets) {
        while (!target.m_waiting.empty() && has_expired(target.m_waiting.front())) {
            auto issued = std::move(target.m_waiting.front());
            target.m_waiting.pop_front();
            finish(std::move(issued), not_executed("not_sent"));
        }
    }
    std::vector<connection_ptr> expired;
    std::copy_if(m_connections.begin(), m_connections.end(), std::back_inserter(expired),
                 [&](const connection_ptr& connection) { return has_expired(connection->m_call); });
    for (const auto& connection : expired) {
        auto issued = std::move(connection->m_call);
        const bool was_sent = connection->is_connected();
        drop(*connection);
        finish(std::move(issued), was_sent ? unknown("timeout") : not_executed("connect_failed"));
        assign_waiting(connection->target());
    }
}

void generator::end_if_finished()
{
    if (m_next || m_outstanding > 0 || m_end != time_point())
        return;
    m_end = m_clock.now();
    m_expiry_timer.cancel();
    for (const auto& connection : m_connections)
        connection->close();
    m_log.flush();
    m_on_finished();
}

} // namespace azureladder::load
