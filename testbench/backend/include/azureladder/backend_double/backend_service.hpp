#pragma once

#include <azureladder/backend_double/execution_log.hpp>
#include <azureladder/backend_double/fencing_table.hpp>
#include <azureladder/backend_double/running_requests.hpp>
#include <azureladder/backend_double/work_capacity.hpp>
#include <azureladder/http/message.hpp>

#include <atomic>
#include <map>
#include <mutex>

namespace azureladder::backend_double {

/// Answers the backend server calls of docs/design.md and the control calls of the double.
class backend_service
{
public:
    backend_service(const clock& time, const backend_options& options, execution_log& log);

    /// Handler for `http::server`.
    http::response handle(const http::request& message);

    work_capacity& capacity() { return m_capacity; }

private:
    http::response handle_control(const http::request& message);
    http::response set_lease(const json& body);
    http::response set_grant(const json& body);
    http::response cancel(const json& body);
    http::response execute(const http::request& message);
    http::response finish(const http::request& message, const json& identity, execution_end end,
                          time_point lease_end);
    http::response refuse(const json& identity, int status, const std::string& reason);
    const char* fencing_refusal(const http::request& message, time_point now) const;
    std::uint64_t next_sequence(const std::string& key);

    const clock& m_clock;
    const backend_options m_options;
    execution_log& m_log;
    work_capacity m_capacity;
    fencing_table m_fencing;
    running_requests m_running;
    std::atomic<std::uint64_t> m_executions{0};
    std::mutex m_sequence_mutex;
    std::map<std::string, std::uint64_t> m_sequences;
};

} // namespace azureladder::backend_double
