#pragma once

#include <azureladder/base/result.hpp>
#include <azureladder/http/message.hpp>

#include <cstdint>
#include <optional>

namespace azureladder::http {

/// Status and message of the response to a request that does not reach the handler. The connection
/// is closed after it.
struct request_rejection
{
    int m_status = 400;
    std::string m_message;
};

/// Body length and expectation that the headers of a request declare.
struct body_framing
{
    std::uint64_t m_length = 0;
    bool m_expects_continue = false;
};

/// Parses the raw bytes of a request line and its headers up to and including the empty line.
result<request, request_rejection> parse_request_head(std::string_view raw);

/// Determines from the headers how many body bytes follow.
result<body_framing, request_rejection> check_framing(const header_fields& headers,
                                                      std::uint64_t max_body_bytes);

/// Returns the response to `rejected_request`, which holds only what was parsed. The response
/// repeats the Request-Id if it is valid.
response make_rejection_response(const request_rejection& rejection,
                                 const request& rejected_request);

/// Returns the Request-Id of `headers` if it is valid (1 to 128 visible ASCII characters),
/// otherwise an empty text.
std::string valid_request_id(const header_fields& headers);

} // namespace azureladder::http
