#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/base/request_class.hpp>
#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::core {

/// Id of a request within one process. Not reused within an incarnation.
using request_token = std::uint64_t;

/// Number of a dispatch or forward of a request: 1 for the first, higher for retries and hedges.
using attempt_number = std::uint32_t;

/// Properties of a request that the reducer uses. The runtime keeps headers and body.
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

    /// Whether repeated executions have the same effect as one.
    bool m_idempotent = true;

    /// Timeout requested by the caller; zero when the request has none.
    duration m_timeout{0};

    /// Entry node of a request forwarded by a peer; empty for a request received from a caller.
    node_id m_forwarded_by;

    /// Whether the entry node of a forwarded request holds its claim, so that this node requests
    /// none.
    bool m_claimed = false;
};

} // namespace azureladder::core
