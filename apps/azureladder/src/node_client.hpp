#pragma once

#include <azureladder/base/result.hpp>

#include <string>

namespace azureladder::cli {

/// HTTP response of a node.
struct node_response
{
    int m_status = 0;
    std::string m_body;
};

/// Error of a call without a response.
struct client_error
{
    /// Whether no part of the request was sent, so that the node cannot have received it.
    bool m_nothing_sent = false;
    std::string m_message;
};

/// Calls the HTTP interface of one node.
class node_client
{
public:
    virtual ~node_client() = default;

    /// Sends a request at most once and waits for the complete response.
    virtual result<node_response, client_error>
    call(const std::string& method, const std::string& target, const std::string& body) = 0;
};

} // namespace azureladder::cli
