#pragma once

#include <azureladder/base/result.hpp>
#include <azureladder/core/error_code.hpp>
#include <azureladder/core/events.hpp>
#include <azureladder/core/request_info.hpp>
#include <azureladder/http/message.hpp>

#include <cstddef>
#include <string>

/// Translation between callers' HTTP messages and the reducer's requests.
namespace azureladder::node {

/// A caller's request as it is passed to the reducer and to the backend server.
struct caller_request
{
    core::request_info m_info;

    /// Request for the backend server: the path without the service, without hop-by-hop headers.
    http::request m_forwarded;
};

/// Reason why a request is rejected. `m_request_id` is empty when the caller sent no valid one.
struct caller_error
{
    core::error_code m_code;
    std::string m_message;
    std::string m_request_id;
};

/// Checks service, key, request id, deadline, idempotency key, customer and class of a request.
/// `new_request_id` is used when the caller sends none.
result<caller_request, caller_error> parse_caller_request(const http::request& input,
                                                          const std::string& new_request_id);

/// Error response with a JSON body and the headers that all responses have.
http::response error_response(core::error_code code, const std::string& message,
                              const std::string& request_id, executed state, duration retry_after);

/// Response to the caller, from a reply of a backend server. The execution state is "yes" unless
/// the reply's header `Azureladder-Executed` is "unknown".
http::response reply_response(http::response reply, const std::string& request_id);

/// Execution state reported by a reply of a backend server: "yes" or "unknown".
executed reported_execution(const http::response& reply);

/// Copies a reply whose body has at most `limit` bytes into `finished`, to be stored with its
/// claim.
void copy_small_reply(const http::response& reply, std::size_t limit,
                      core::attempt_finished& finished);

/// Whether a header applies to a single connection and is not forwarded.
bool is_hop_by_hop(const std::string& name);

} // namespace azureladder::node
