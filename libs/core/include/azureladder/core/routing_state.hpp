#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/core/concurrency_limit.hpp>
#include <azureladder/core/open_request.hpp>
#include <azureladder/core/request_queue.hpp>
#include <azureladder/core/upstream_stats.hpp>

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

    /// Attempts whose end the runtime has not reported, including those of answered requests, which
    /// occupy their slots until the report.
    std::map<std::pair<request_token, attempt_number>, open_attempt> m_attempts;

    /// Time of the next timer of each request.
    std::set<std::pair<time_point, request_token>> m_timers;

    /// Requests in phase `waiting_owner`.
    std::set<request_token> m_waiting;

    /// Claim keys of this node's requests that have requested or hold a claim. A second request
    /// with the same key is answered without a claim request, so that the outcomes of the two
    /// requests cannot be mixed up.
    std::map<std::string, request_token> m_claim_keys;

    request_queue m_queue;
    concurrency_limit m_limit;
    std::map<std::string, service_stats> m_services;

    /// Whether the availability zone and the backend server of this node were in service at the
    /// last tick. A return to service is treated as a cold start.
    bool m_was_in_service = true;
    time_point m_next_stats_update{};
};

} // namespace azureladder::core
