#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::routing {

/// Request in the admission controller of a backend server.
struct admission_request
{
    /// Id assigned by the node, unique among the open requests of the admission controller.
    std::uint64_t m_id = 0;

    /// Name of the route. Requests of the same route have similar execution times.
    std::string m_route;

    /// Priority; 0 is the most urgent.
    std::uint32_t m_priority = 0;

    /// Time by which the caller should have the response to meet the route's latency objective.
    time_point m_target;

    /// Time at which the caller stops waiting.
    time_point m_deadline;

    /// Whether the request is a retry; its target counts from the first attempt.
    bool m_is_retry = false;

    /// Whether the request will miss its target, since its admission or since it waits too long. It
    /// waits behind all requests of the same priority that can meet theirs. Set by the admission
    /// controller.
    bool m_is_late = false;

    /// Whether a backend server makes the request during the execution of another one, which holds
    /// a slot until it has the response. Calls go before all other requests.
    bool m_is_call = false;

    /// Whether the request may be queued although it will miss its target. Otherwise it is refused,
    /// so that its ingress can try another gate.
    bool m_accepts_late = true;

    /// Whether the body has not arrived yet. The request then holds its slot without being executed
    /// until `record_arrived_body`.
    bool m_awaits_body = false;

    /// Whether the request may not start yet, because its body was not requested: link or memory
    /// do not allow it. It takes no slot and does not hold up the requests behind it.
    bool m_is_held_back = false;
};

} // namespace azureladder::routing
