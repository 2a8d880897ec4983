#pragma once

#include <azureladder/audit/history.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace azureladder::audit {

/// One execution of a request at a backend server.
struct execution
{
    const event* m_start = nullptr;

    /// Null when the log has no end of the execution.
    const event* m_finish = nullptr;

    /// Time of the end. Without a line for it, the time of the last line of the same run of the
    /// server, because the server was running until then.
    std::int64_t m_end_us = 0;
};

/// Executions in the order of their start.
std::vector<execution> find_executions(const history& events);

/// Services of which each key has one owner, derived from the epochs of executions and from
/// ownership lines.
std::set<std::string> divided_services(const history& events);

/// Service of a slice space: the part of "service/group" before the slash.
std::string service_of_space(const std::string& space);

using service_and_key = std::pair<std::string, std::string>;

/// Index of executions by request id and by idempotency key.
class execution_index
{
public:
    explicit execution_index(const std::vector<execution>& executions);

    /// First execution of a request id; null when there is none.
    const event* by_request(const std::string& request_id) const;

    /// First execution of a non-idempotent request with an idempotency key.
    const event* by_idempotency_key(const service_and_key& key) const;

private:
    std::unordered_map<std::string, const event*> m_by_request;
    std::unordered_map<std::string, const event*> m_by_key;
};

} // namespace azureladder::audit
