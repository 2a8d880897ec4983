#include "generator.hpp"

#include "request_text.hpp"

#include <algorithm>

namespace azureladder::load {

namespace {

using boost::system::error_code;

constexpr duration sweep_interval = milliseconds(20);

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
      m_sweep_timer(context)
{
}

void generator::start(std::function<void()> on_finished)
{
    m_on_finished = std::move(on_finished);
    m_start = m_clock.now();
    m_next = m_schedule.next();
    schedule_arrival();
    schedule_sweep();
}

void generator::stop_early()
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
    auto one = std::make_unique<call>();
    one->m_plan = std::move(plan);
    one->m_request_id = m_settings.m_id_prefix + "-" + std::to_string(m_issued++);
    one->m_idempotency_key = std::move(idempotency_key);
    one->m_scheduled = scheduled;
    one->m_give_up =
        m_clock.now() + m_settings.m_services[one->m_plan.m_service].m_timeout + timeout_grace;
    one->m_repeat = repeat;
    ++m_outstanding;
    m_log.started(*one);
    assign(std::move(one));
}

void generator::assign(std::unique_ptr<call> one)
{
    auto& target = m_targets[one->m_plan.m_target];
    if (!target.m_idle.empty()) {
        const auto connection = std::move(target.m_idle.back());
        target.m_idle.pop_back();
        auto text = request_text(m_settings, *one);
        connection->m_call = std::move(one);
        connection->send(std::move(text));
    } else if (target.m_open < m_settings.m_connections) {
        open_connection(std::move(one));
    } else if (target.m_waiting.size() < m_settings.m_max_waiting) {
        m_statistics.waited_for_connection();
        target.m_waiting.push_back(std::move(one));
    } else {
        finish(std::move(one), not_executed("not_sent"));
    }
}

void generator::open_connection(std::unique_ptr<call> one)
{
    const auto target = one->m_plan.m_target;
    ++m_targets[target].m_open;
    auto connection = std::make_shared<http_connection>(
        m_context, static_cast<connection_events&>(*this), target);
    connection->m_call = std::move(one);
    m_connections.insert(connection);
    connection->connect(m_settings.m_targets[target]);
}

void generator::serve_waiting(std::uint32_t target)
{
    auto& state = m_targets[target];
    while (!state.m_waiting.empty() &&
           (!state.m_idle.empty() || state.m_open < m_settings.m_connections)) {
        auto one = std::move(state.m_waiting.front());
        state.m_waiting.pop_front();
        assign(std::move(one));
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
    auto one = std::move(connection.m_call);
    const auto target = connection.target();
    drop(connection);
    retry_connect(std::move(one));
    serve_waiting(target);
}

void generator::retry_connect(std::unique_ptr<call> one)
{
    ++one->m_connect_attempts;
    if (one->m_connect_attempts >= m_settings.m_connect_attempts) {
        finish(std::move(one), not_executed("connect_failed"));
        return;
    }
    // Nothing was sent, so trying another node cannot cause a second execution.
    one->m_plan.m_target = (one->m_plan.m_target + 1) % std::uint32_t(m_targets.size());
    assign(std::move(one));
}

void generator::replied(http_connection& connection, exchange_state state, const http_reply& reply)
{
    auto one = std::move(connection.m_call);
    const auto target = connection.target();
    if (state == exchange_state::complete && reply.m_keep_alive)
        m_targets[target].m_idle.push_back(connection.shared_from_this());
    else
        drop(connection);
    finish(std::move(one), outcome_of(state, reply));
    serve_waiting(target);
}

void generator::closed_idle(http_connection& connection)
{
    const auto target = connection.target();
    drop(connection);
    serve_waiting(target);
}

void generator::finish(std::unique_ptr<call> one, const call_outcome& outcome)
{
    m_statistics.finished(*one, outcome, m_clock.now() - one->m_scheduled);
    m_log.finished(*one, outcome);
    const auto& method =
        m_settings.m_services[one->m_plan.m_service].m_methods[one->m_plan.m_method];
    if (outcome.m_executed == executed::unknown && one->m_repeat < method.m_repeats)
        repeat_later(*one);
    --m_outstanding;
    end_if_finished();
}

void generator::repeat_later(const call& one)
{
    ++m_outstanding;
    m_statistics.repeated();
    const auto due = m_clock.now() + m_settings.m_repeat_delay;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_settings.m_repeat_delay);
    timer->async_wait([this, timer, due, plan = one.m_plan, key = one.m_idempotency_key,
                       repeat = one.m_repeat + 1](const error_code&) {
        auto next = plan;
        next.m_target = (plan.m_target + 1) % std::uint32_t(m_targets.size());
        issue(std::move(next), due, key, repeat);
        --m_outstanding;
    });
}

void generator::schedule_sweep()
{
    m_sweep_timer.expires_after(sweep_interval);
    m_sweep_timer.async_wait([this](const error_code& error) {
        if (error)
            return;
        sweep();
        if (m_end == time_point())
            schedule_sweep();
    });
}

void generator::sweep()
{
    const auto now = m_clock.now();
    const auto is_late = [&](const std::unique_ptr<call>& one) {
        return one && one->m_give_up <= now;
    };
    for (auto& target : m_targets) {
        while (!target.m_waiting.empty() && is_late(target.m_waiting.front())) {
            auto one = std::move(target.m_waiting.front());
            target.m_waiting.pop_front();
            finish(std::move(one), not_executed("not_sent"));
        }
    }
    std::vector<connection_ptr> late;
    std::copy_if(m_connections.begin(), m_connections.end(), std::back_inserter(late),
                 [&](const connection_ptr& connection) { return is_late(connection->m_call); });
    for (const auto& connection : late) {
        auto one = std::move(connection->m_call);
        const bool was_sent = connection->is_connected();
        drop(*connection);
        finish(std::move(one), was_sent ? unknown("timeout") : not_executed("connect_failed"));
        serve_waiting(connection->target());
    }
}

void generator::end_if_finished()
{
    if (m_next || m_outstanding > 0 || m_end != time_point())
        return;
    m_end = m_clock.now();
    m_sweep_timer.cancel();
    for (const auto& connection : m_connections)
        connection->close();
    m_log.flush();
    m_on_finished();
}

} // namespace azureladder::load
