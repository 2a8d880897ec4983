#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>

namespace azureladder::sidecar {

/// A request that was sent to a node, until the node reports the result or the request ends.
struct request_attempt
{
    std::string m_node;
    std::uint64_t m_node_incarnation = 0;
    std::uint64_t m_frame = 0;
    time_point m_sent_at;

    /// The request was sent without its body, and the body was not sent either. The node can't have
    /// executed the request.
    bool m_lacks_body = false;

    /// Time of loss of the connection that carried the attempt; unset while it is up.
    time_point m_link_lost_at;
};

} // namespace azureladder::sidecar
