#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::sidecar {

/// State of a request whose organisation has a quota.
enum class quota_state
{
    /// No token is needed, or it was returned.
    none,

    /// The request waits for the answer of the counting node and has not been sent to a server.
    waiting,

    /// The counting node has granted a token.
    granted,

    /// The token is from the ingress's own share, since the counting node has not answered.
    from_fallback
};

/// Token of an open request.
struct quota_token
{
    quota_state m_state = quota_state::none;

    /// Node that was asked, or that granted the token, and time of the grant by its clock in
    /// microseconds.
    std::string m_node;
    std::int64_t m_granted_us = 0;

    /// Time at which the counting node is asked again, unset while an answer is awaited, and time
    /// from which on the request does not wait any longer.
    time_point m_ask_at;
    time_point m_wait_until;
};

} // namespace azureladder::sidecar
