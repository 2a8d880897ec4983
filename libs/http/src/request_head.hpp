#pragma once

#include <azureladder/base/result.hpp>
#include <azureladder/http/message.hpp>

#include <cstdint>
#include <optional>

namespace azureladder::http {

/// Answer to a request that does not reach the handler. The connection is closed after it.
struct request_rejection
{
    int m_status = 400;
    std::string m_message;
};

/// How the body of a request is delimited.
struct body_framing
{
    std::uint64_t m_length = 0;
    bool m_expects_continue = false;
};

/// Parses the raw bytes of a request line and its headers, including the empty line.
result<request, request_rejection> parse_request_head(std::string_view raw);

/// Decides from the headers how many body bytes follow.
result<body_framing, request_rejection> check_framing(const header_fields& headers,
                                                      std::uint64_t max_body_bytes);

/// Response to `rejected_request`, of which only the parsed part is filled. It names the request
/// when the request states a valid id.
response make_rejection_response(const request_rejection& rejection,
                                 const request& rejected_request);

/// Request-Id of `message` when it is valid (1 to 128 visible ASCII characters), otherwise empty.
std::string valid_request_id(const header_fields& headers);

} // namespace azureladder::http
