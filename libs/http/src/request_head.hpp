#pragma once

#include <azureladder/base/result.hpp>
#include <azureladder/http/message.hpp>

#include <cstdint>
#include <optional>

namespace azureladder::http {

/// Answer to a request that does not reach the handler. The connection is closed after it.
struct refusal
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
result<request, refusal> parse_request_head(std::string_view raw);

/// Decides from the headers how many body bytes follow.
result<body_framing, refusal> check_framing(const header_fields& headers,
                                            std::uint64_t max_body_bytes);

/// Response to `refused_request`, of which only the parsed part is filled. It names the request
/// when the request states a valid id.
response make_response(const refusal& refused, const request& refused_request);

/// Request-Id of `message` when it is valid (1 to 128 visible ASCII characters), otherwise empty.
std::string request_id_of(const header_fields& headers);

} // namespace azureladder::http
