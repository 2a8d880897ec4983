#pragma once

#include <string>
#include <string_view>
#include <vector>

/// HTTP server that validates requests strictly on top of cxxtools, and an HTTP client that never
/// resends a request.
namespace azureladder::http {

/// One header field. Names are case-insensitive.
struct header_field
{
    std::string m_name;
    std::string m_value;
};

using header_fields = std::vector<header_field>;

/// HTTP request with its complete body.
struct request
{
    std::string m_method = "GET";

    /// Path and query as received, not percent-decoded.
    std::string m_target = "/";
    header_fields m_headers;
    std::string m_body;

    /// IP address of the caller. Empty in requests that `client` sends.
    std::string m_remote_address;
};

/// Status that makes the server close the connection without sending a response. Test doubles use
/// it to simulate a lost response.
inline constexpr int close_without_response = 0;

/// HTTP response with its complete body.
struct response
{
    int m_status = 200;
    header_fields m_headers;
    std::string m_body;
};

/// Returns the value of the first header with `name`, or null.
const std::string* find_header(const header_fields& headers, std::string_view name);

/// Returns the number of headers with `name`.
std::size_t count_headers(const header_fields& headers, std::string_view name);

/// Replaces all headers with `name` by one with `value`.
void set_header(header_fields& headers, std::string_view name, std::string value);

/// Compares ASCII text case-insensitively.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// Returns the standard reason phrase of `status`, or "Status" for an unlisted one.
std::string_view reason_phrase(int status);

} // namespace azureladder::http
