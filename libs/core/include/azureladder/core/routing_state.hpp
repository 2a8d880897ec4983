#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/core/concurrency_limit.hpp>
#include <azureladder/core/open_request.hpp>
#include <azureladder/core/request_queue.hpp>
#include <azureladder/core/upstream_measure.hpp>

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace azureladder::core {

/// Requests, queue, limits and measurements of the routing module.
struct routing_state
{
    std::unordered_map<request_token, open_request> m_requests;

    /// Attempts that have not been reported as finished, including those of answered requests:
    /// their slots stay in use until the report.
    std::map<std::pair<request_token, attempt_number>, open_attempt> m_attempts;

    /// Next time at which each request needs attention.
    std::set<std::pair<time_point, request_token>> m_timers;

    /// Requests in phase `waiting_owner`.
    std::set<request_token> m_waiting;

    /// Claim keys of this entry node's requests that ask for or hold a claim. A repeat at the same
    /// node is answered without asking, so that results of two requests cannot be confused.
    std::map<std::string, request_token> m_claim_keys;

    request_queue m_queue;
    concurrency_limit m_limit;
    std::map<std::string, service_measure> m_services;

    /// Whether this node's zone and backend server were in service at the last tick; a return to
    /// service counts as a cold start.
    bool m_was_in_service = true;
    time_point m_next_measurement{};
};

} // namespace azureladder::core
