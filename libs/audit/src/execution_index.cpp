#include "execution_index.hpp"

#include <map>

namespace azureladder::audit {

namespace {

/// Separates service and key in a map key; neither may contain it.
constexpr char separator = '\n';

std::string index_key(const service_and_key& key)
{
    return key.first + separator + key.second;
}

/// State of the current run of one server while its lines are read.
struct server_run
{
    std::int64_t m_last_us = 0;

    /// Indexes of unfinished executions by request id.
    std::multimap<std::string, std::size_t> m_unfinished;

    /// Whether the run has an execution with the number 1.
    bool m_has_first_execution = false;
};

/// Whether a line starts a new run of the server: a server_started line, or a second execution with
/// the number 1.
bool starts_new_run(const event& line, const server_run& server)
{
    return line.m_kind == event_kind::server_started ||
           (line.m_kind == event_kind::execution_started && line.m_execution == 1 &&
            server.m_has_first_execution);
}

void end_run(server_run& server, std::vector<execution>& executions)
{
    for (const auto& [request_id, index] : server.m_unfinished)
        executions[index].m_end_us = server.m_last_us;
    server.m_unfinished.clear();
    server.m_has_first_execution = false;
}

void finish_execution(const event& line, server_run& server, std::vector<execution>& executions)
{
    const auto open = server.m_unfinished.find(line.m_request_id);
    if (open == server.m_unfinished.end())
        return;
    executions[open->second].m_finish = &line;
    executions[open->second].m_end_us = line.m_logged_end_us.value_or(line.m_time_us);
    server.m_unfinished.erase(open);
}

} // namespace

std::vector<execution> find_executions(const history& events)
{
    std::vector<execution> executions;
    std::map<std::string, server_run> servers;
    for (const auto& line : events.m_events) {
        const bool is_start = line.m_kind == event_kind::execution_started;
        const bool is_finish = line.m_kind == event_kind::execution_finished;
        if (!is_start && !is_finish && line.m_kind != event_kind::server_started &&
            line.m_kind != event_kind::execution_refused)
            continue;
        auto& server = servers[line.m_server];
        if (starts_new_run(line, server))
            end_run(server, executions);
        server.m_last_us = line.m_time_us;
        server.m_has_first_execution =
            server.m_has_first_execution || (is_start && line.m_execution == 1);
        if (is_start) {
            server.m_unfinished.emplace(line.m_request_id, executions.size());
            executions.push_back({&line, nullptr, line.m_time_us});
        } else if (is_finish) {
            finish_execution(line, server, executions);
        }
    }
    for (auto& [name, server] : servers)
        end_run(server, executions);
    return executions;
}

std::string service_of_space(const std::string& space)
{
    return space.substr(0, space.find('/'));
}

std::set<std::string> divided_services(const history& events)
{
    std::set<std::string> services;
    for (const auto& line : events.m_events) {
        if (line.m_kind == event_kind::execution_started && line.m_epoch > 0)
            services.insert(line.m_service);
        if (line.m_kind == event_kind::ownership_started && line.m_slice.m_space != claim_space)
            services.insert(service_of_space(line.m_slice.m_space));
    }
    return services;
}

execution_index::execution_index(const std::vector<execution>& executions)
{
    for (const auto& one : executions) {
        const auto& start = *one.m_start;
        m_by_request.emplace(start.m_request_id, &start);
        if (!start.m_idempotency_key.empty() && !is_idempotent_method(start.m_method))
            m_by_key.emplace(index_key({start.m_service, start.m_idempotency_key}), &start);
    }
}

const event* execution_index::by_request(const std::string& request_id) const
{
    const auto found = m_by_request.find(request_id);
    return found == m_by_request.end() ? nullptr : found->second;
}

const event* execution_index::by_idempotency_key(const service_and_key& key) const
{
    if (key.second.empty())
        return nullptr;
    const auto found = m_by_key.find(index_key(key));
    return found == m_by_key.end() ? nullptr : found->second;
}

} // namespace azureladder::audit
