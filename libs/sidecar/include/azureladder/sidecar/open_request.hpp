#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/sidecar/forwarded_request.hpp>
#include <azureladder/sidecar/server_answer.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace azureladder::sidecar {

/// A caller's request at its ingress, until it has its final answer.
struct open_request
{
    std::uint64_t m_caller = 0;
    forwarded_request_ptr m_request;
    std::uint32_t m_max_attempts = 1;
    duration m_latency_objective{};

    time_point m_arrived;
    time_point m_target;
    time_point m_deadline;

    /// The caller has made an earlier attempt.
    bool m_is_repeated = false;

    /// Node and frame of the present attempt; empty and 0 while there is none.
    std::string m_node;
    std::uint64_t m_node_incarnation = 0;
    std::uint64_t m_frame = 0;
    time_point m_sent_at;

    /// The connection that carried the attempt is lost; since when.
    time_point m_link_lost_at;

    /// Executions that may have begun at a backend server.
    std::uint32_t m_executions = 0;

    /// Nodes that refused or failed this request.
    std::set<std::string> m_tried;
    std::uint32_t m_refusals = 0;

    /// Shortest wait that a gate advised; zero when none did.
    duration m_advised_wait{};
    std::string m_last_cause;

    /// Waits for a range that is moving, and asks its owner again from time to time.
    bool m_waits_for_owner = false;
    time_point m_ask_owner_at;

    /// The best answer so far of a backend server that failed.
    server_answer_ptr m_failed_answer;
};

} // namespace azureladder::sidecar
