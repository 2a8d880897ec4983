#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/sidecar/forwarded_request.hpp>
#include <azureladder/sidecar/quota_token.hpp>
#include <azureladder/sidecar/request_attempt.hpp>
#include <azureladder/sidecar/server_response.hpp>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace azureladder::sidecar {

/// A caller's request at its entry node, until the final response.
struct open_request
{
    std::uint64_t m_caller = 0;
    forwarded_request_ptr m_request;
    std::uint32_t m_max_attempts = 1;
    duration m_latency_objective{};

    time_point m_arrived;
    time_point m_target;
    time_point m_deadline;

    /// The caller has made an earlier attempt at this request.
    bool m_is_retry = false;

    /// Open attempts, oldest first. An idempotent request has several after the nodes of the older
    /// ones became unresponsive; the first response counts.
    std::vector<request_attempt> m_attempts;

    /// Number of ended attempts that a backend server may have executed.
    std::uint32_t m_executions = 0;

    /// Nodes that refused this request or failed to execute it.
    std::set<std::string> m_failed_nodes;
    std::uint32_t m_refusals = 0;

    /// Shortest retry delay among the refusals; zero when none had one.
    duration m_shortest_retry_after{};
    std::string m_last_cause;

    /// Waits for a key range in transfer. The owner is tried again at the given time.
    bool m_waits_for_owner = false;
    time_point m_retry_owner_at;

    /// Token of the organisation's quota.
    quota_token m_quota;

    /// Newest 5xx response of a backend server, returned to the caller if no attempt succeeds.
    server_response_ptr m_failed_response;
};

/// Whether a backend server may have executed a request.
inline bool may_have_been_executed(const open_request& request)
{
    return request.m_executions > 0 ||
           std::any_of(request.m_attempts.begin(), request.m_attempts.end(),
                       [](const auto& attempt) { return !attempt.m_lacks_body; });
}

} // namespace azureladder::sidecar
