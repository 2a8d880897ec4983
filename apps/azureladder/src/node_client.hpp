#pragma once

#include <azureladder/base/result.hpp>

#include <string>

namespace azureladder::cli {

/// Answer of a node.
struct reply
{
    int m_status = 0;
    std::string m_body;
};

/// A call that brought no answer.
struct client_error
{
    /// True when the node cannot have received any part of the call.
    bool m_nothing_sent = false;
    std::string m_message;
};

/// Calls the HTTP interface of one node.
class node_client
{
public:
    virtual ~node_client() = default;

    /// Sends one request, at most once, and waits for the whole answer.
    virtual result<reply, client_error> call(const std::string& method, const std::string& target,
                                             const std::string& body) = 0;
};

} // namespace azureladder::cli
