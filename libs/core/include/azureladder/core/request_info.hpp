#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/base/request_class.hpp>
#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::core {

/// Id of a request in one process. Never reused in an incarnation.
using request_token = std::uint64_t;

/// Number of a dispatch or forward of a request: 1 for the first, higher for retries and hedges.
using attempt_number = std::uint32_t;

/// What the reducer knows of a request. Headers and body stay in the runtime.
struct request_info
{
    std::string m_request_id;
    std::string m_service;
    std::string m_customer;
    request_class m_class = request_class::standard;

    /// Key of the request; empty for services that are not divided by key.
    std::string m_key;

    /// Value of the Idempotency-Key header; may be empty.
    std::string m_idempotency_key;

    /// Whether the method may be executed more than once without a further effect.
    bool m_idempotent = true;

    /// Time until which the caller waits; unset (zero) when the caller named none.
    duration m_timeout{0};

    /// Entry node when a peer forwarded the request; empty for a caller's request.
    node_id m_forwarded_by;

    /// For forwarded requests: the entry node has the claim, so this node asks for none.
    bool m_claimed = false;
};

} // namespace azureladder::core
