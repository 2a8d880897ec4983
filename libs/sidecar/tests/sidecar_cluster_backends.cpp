#include "sidecar_cluster.hpp"

#include <algorithm>

namespace azureladder::sidecar {

namespace {

constexpr duration check_interval = milliseconds(10);

/// Time after a caller's disconnect in which the execution of its request has to end.
constexpr duration cancel_limit = milliseconds(500);

} // namespace

void sidecar_cluster::execute(const std::string& node, const start_execution& wanted)
{
    fake_backend& server = backend(node);
    const std::uint64_t incarnation = m_machines.at(node).m_incarnation;
    const auto end_with = [this, node, incarnation](const execution_ended& ended, duration delay) {
        at(delay, [this, node, incarnation, ended] {
            if (is_up(node, incarnation))
                handle_event(node, ended);
        });
    };
    execution_ended ended;
    ended.m_execution = wanted.m_execution;
    if (!server.m_alive) {
        ended.m_result = execution_result::not_sent;
        end_with(ended, milliseconds(1));
        return;
    }
    const forwarded_request& request = *wanted.m_request;
    ++m_arrivals[request.m_request_id];
    if (wanted.m_backend_id != server.id()) {
        ended.m_result = execution_result::rejected;
        ended.m_backend_replaced = true;
        end_with(ended, milliseconds(1));
        return;
    }
    // No random number is drawn without rejections, so that seeds keep their sequence.
    const bool is_rejected = m_rejected_share > 0.0 && random_share() < m_rejected_share;
    if (is_rejected || !server.accepts(request, m_now)) {
        ended.m_result = execution_result::rejected;
        end_with(ended, milliseconds(1));
        return;
    }
    server.m_executed.push_back(request.m_request_id);
    if (m_is_idempotent[request.m_request_id] == false && executions(request.m_request_id) > 1)
        m_violations.push_back("executed twice: " + request.m_request_id);
    const int status = this->status(request.m_request_id);
    if (!m_is_idempotent[request.m_request_id] && status == 503)
        m_violations.push_back("executed after a refusal: " + request.m_request_id);
    const auto body = m_body_of_request.find(request.m_request_id);
    if (request.m_body != (body == m_body_of_request.end() ? std::string() : body->second))
        m_violations.push_back("executed without its body: " + request.m_request_id);
    const std::pair<std::uint64_t, std::uint64_t> run{incarnation, wanted.m_execution};
    server.m_running[run] = request.m_request_id;
    if (server.m_running.size() > fake_backend::slots)
        m_violations.push_back("more requests than slots at " + node);
    const auto own_time = m_execution_times.find(node);
    const duration time = own_time == m_execution_times.end() ? m_execution_time : own_time->second;
    at(time, [this, node, run] { backend(node).m_running.erase(run); });
    if (random_share() < m_lost_response_share) {
        ended.m_result = execution_result::unknown;
        end_with(ended, time);
        return;
    }
    auto response = std::make_shared<server_response>();
    response->m_status = 200;
    response->m_body = request.m_request_id;
    ended.m_result = execution_result::answered;
    ended.m_response = std::move(response);
    end_with(ended, time);
}

void sidecar_cluster::grant(const std::string& node, const grant_keys& command)
{
    // A late grant is applied after newer ones, but its lease starts at its arrival.
    const bool late = random_share() < m_late_grant_share;
    const duration delay = late ? duration(milliseconds(100 + m_random() % 3000)) : duration{};
    machine& wanted = m_machines.at(node);
    const std::uint64_t incarnation = wanted.m_incarnation;
    const fake_backend& server = backend(node);
    const auto [connection, is_new] =
        wanted.m_grant_connections.emplace(std::pair(incarnation, command.m_connection),
                                           server.m_alive ? server.backend_incarnation() : 0);
    if (!late && (!server.m_alive || connection->second != server.backend_incarnation())) {
        // A new connection is refused; a grant sent over an existing one may have arrived or not.
        key_command_ended ended;
        ended.m_command_id = command.m_command_id;
        ended.m_result = is_new ? key_command_result::not_sent : key_command_result::unanswered;
        at(milliseconds(1), [this, node, incarnation, ended] {
            if (is_up(node, incarnation))
                handle_event(node, ended);
        });
        return;
    }
    at(delay, [this, node, incarnation, command, late, delay, arrived = m_now] {
        if (!backend(node).m_alive)
            return;
        const key_command_ended ended = backend(node).grant(command, arrived);
        if (!late && ended.m_result == key_command_result::accepted)
            check_token(node, command);
        if (late && delay > milliseconds(900))
            return;
        at(milliseconds(2), [this, node, incarnation, ended] {
            if (is_up(node, incarnation))
                handle_event(node, ended);
        });
    });
}

void sidecar_cluster::check_token(const std::string& node, const grant_keys& command)
{
    if (!m_checks_tokens)
        return;
    const std::int64_t backend_incarnation = backend(node).backend_incarnation();
    bool is_recorded = false;
    for (granted_keys& granted : m_granted_keys) {
        if (granted.m_to < command.m_from || granted.m_from > command.m_to)
            continue;
        const bool same_incarnation =
            granted.m_node == node && granted.m_backend_incarnation == backend_incarnation;
        if (!same_incarnation && granted.m_fencing_token >= command.m_token)
            m_violations.push_back(
                "fencing token not increased: " + std::to_string(command.m_from) + " at " + node +
                " with " + std::to_string(command.m_token) + ", " + granted.m_node +
                " had it with " + std::to_string(granted.m_fencing_token));
        if (!same_incarnation || granted.m_from != command.m_from || granted.m_to != command.m_to)
            continue;
        granted.m_fencing_token = std::max(granted.m_fencing_token, command.m_token);
        is_recorded = true;
    }
    if (!is_recorded)
        m_granted_keys.push_back(
            {node, backend_incarnation, command.m_from, command.m_to, command.m_token});
}

void sidecar_cluster::restart_backend(const std::string& node, duration down)
{
    backend(node).m_alive = false;
    at(down, [this, node] { backend(node).restart(m_now); });
}

void sidecar_cluster::replace_backend(const std::string& node, duration down)
{
    backend(node).m_alive = false;
    at(down, [this, node] { backend(node).replace(m_now); });
}

void sidecar_cluster::drop_announcements(const std::string& node, duration time)
{
    m_machines.at(node).m_announcements_dropped_until = m_now + time;
}

void sidecar_cluster::delay_announcement(const std::string& node, duration delay)
{
    at(delay, [this, node, announced = backend(node).announcement(m_now)] {
        handle_event(node, backend_announced{announced});
    });
}

void sidecar_cluster::check_disconnected_callers()
{
    for (const auto& [node, wanted] : m_machines) {
        for (const auto& [run, request] : wanted.m_backend->m_running) {
            const auto disconnected = m_disconnected_at.find(request);
            if (disconnected != m_disconnected_at.end() &&
                m_now - disconnected->second > cancel_limit)
                m_violations.push_back(std::string("executed for a disconnected caller: ")
                                           .append(request)
                                           .append(" at ")
                                           .append(node));
        }
    }
}

void sidecar_cluster::check_lease_holders()
{
    if (m_now < m_next_check)
        return;
    m_next_check = m_now + check_interval;
    check_disconnected_callers();
    std::map<std::uint32_t, std::pair<std::uint32_t, std::string>> leased;
    for (const auto& [node, wanted] : m_machines) {
        for (const auto& [from, to] : wanted.m_backend->leased_ranges(m_now)) {
            const auto after = leased.upper_bound(from);
            const auto other = after != leased.begin() && std::prev(after)->second.first >= from
                                   ? std::prev(after)
                               : after != leased.end() && after->first <= to ? after
                                                                             : leased.end();
            if (other != leased.end())
                m_violations.push_back(std::string("key held twice: ")
                                           .append(std::to_string(std::max(from, other->first)))
                                           .append(" by ")
                                           .append(other->second.second)
                                           .append(" and ")
                                           .append(node));
            else
                leased[from] = {to, node};
        }
    }
}

} // namespace azureladder::sidecar
