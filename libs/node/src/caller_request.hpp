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

/// A caller's request as the reducer and the backend server see it.
struct caller_request
{
    core::request_info m_info;

    /// Request for the backend server: the path without the service, without hop-by-hop headers.
    http::request m_forwarded;
};

/// A request that cannot be accepted. `m_request_id` is empty when the caller named no valid one.
struct caller_error
{
    core::error_code m_code;
    std::string m_message;
    std::string m_request_id;
};

/// Checks service, key, request id, deadline, idempotency key, customer and class of a request.
/// `new_request_id` is used when the caller names none.
result<caller_request, caller_error> parse_caller_request(const http::request& input,
                                                          const std::string& new_request_id);

/// Error answer with its JSON body and the headers that each answer carries.
http::response error_response(core::error_code code, const std::string& message,
                              const std::string& request_id, executed state, duration retry_after);

/// Reply of a backend server as the caller gets it. A reply states that it was executed unless its
/// header `Azureladder-Executed` says "unknown".
http::response reply_response(http::response reply, const std::string& request_id);

/// Execution state that a reply states.
executed stated_execution(const http::response& reply);

/// Copies a reply whose body has at most `limit` bytes to the end of its attempt, for claims.
void keep_small_reply(const http::response& reply, std::size_t limit,
                      core::attempt_finished& finished);

/// Whether a header belongs to one connection only and is not forwarded.
bool is_hop_by_hop(const std::string& name);

} // namespace azureladder::node
