#include "backend_connection_pool.hpp"

#include <algorithm>

namespace azureladder::sidecar_runtime {

namespace {

sidecar::execution_ended failed_execution(std::uint64_t execution, const exchange_outcome& outcome)
{
    sidecar::execution_ended ended;
    ended.m_execution = execution;
    ended.m_cause = outcome.m_cause;
    ended.m_is_reset = outcome.m_is_reset;
    ended.m_result = outcome.m_result == exchange_result::not_sent
                         ? sidecar::execution_result::not_sent
                         : sidecar::execution_result::unknown;
    return ended;
}

} // namespace

backend_connection_pool::backend_connection_pool(asio::io_context& io, const protocol_codec& codec,
                                                 byte_budget& budget,
                                                 backend_connection_pool_options options,
                                                 event_handler on_event)
    : m_io(io), m_codec(codec), m_budget(budget), m_options(options),
      m_on_event(std::move(on_event))
{
}

backend_connection_pool::connection_ptr
backend_connection_pool::acquire_connection(const std::string& address)
{
    if (auto connection = take_idle_connection(m_idle_connections[address]))
        return connection;
    return make_connection(m_io, address, m_options.m_connect_timeout, m_budget);
}

void backend_connection_pool::return_connection(const std::string& address,
                                                const connection_ptr& connection)
{
    if (!connection->is_reusable())
        return;
    m_idle_connections[address].push_back(connection);
    connection->watch_idle([this, address, returned = connection.get()] {
        auto& idle = m_idle_connections[address];
        idle.erase(
            std::remove_if(idle.begin(), idle.end(),
                           [&](const auto& candidate) { return candidate.get() == returned; }),
            idle.end());
    });
}

void backend_connection_pool::start(const sidecar::start_execution& execution)
{
    const connection_ptr connection = acquire_connection(execution.m_backend_address);
    m_running_executions[execution.m_execution] = connection;
    const auto decoded = std::make_shared<backend_response>();
    const std::uint64_t id = execution.m_execution;
    const auto timeout = std::chrono::duration_cast<milliseconds>(execution.m_remaining) +
                         m_options.m_timeout_margin;
    connection->exchange(
        m_codec.encode_execution(execution), timeout,
        [this, decoded, execution](const http_response& response) {
            *decoded = m_codec.decode_backend_response(execution, response);
            return decoded->m_matches_request;
        },
        [this, decoded, id, connection, has_key = execution.m_request->m_key.has_value(),
         address = execution.m_backend_address](const exchange_outcome& outcome) {
            m_running_executions.erase(id);
            // A rejected request with a key is sent again with the same id, so a duplicate of the
            // rejection on this connection would match it.
            if (has_key && decoded->m_outcome.m_result == sidecar::execution_result::rejected)
                connection->close();
            return_connection(address, connection);
            if (outcome.m_result != exchange_result::answered) {
                m_on_event(failed_execution(id, outcome));
                return;
            }
            decoded->m_outcome.m_execution = id;
            m_on_event(decoded->m_outcome);
        });
}

void backend_connection_pool::cancel(std::uint64_t execution)
{
    const auto found = m_running_executions.find(execution);
    if (found == m_running_executions.end())
        return;
    found->second->close();
    m_running_executions.erase(found);
}

} // namespace azureladder::sidecar_runtime
