#pragma once

#include <string>
#include <string_view>
#include <vector>

/// HTTP server in front of cxxtools with strict checks, and an HTTP client that never resends.
namespace azureladder::http {

/// One header line. Names compare without regard to case.
struct header_field
{
    std::string m_name;
    std::string m_value;
};

using header_fields = std::vector<header_field>;

/// An HTTP request with its whole body.
struct request
{
    std::string m_method = "GET";

    /// Path with query exactly as received, without percent decoding.
    std::string m_target = "/";
    header_fields m_headers;
    std::string m_body;

    /// IP address of the caller. Empty in requests to be sent.
    std::string m_remote_address;
};

/// Status of a response that closes the connection instead of being sent. Test doubles use it to
/// lose an answer.
inline constexpr int close_without_answer = 0;

/// An HTTP response with its whole body.
struct response
{
    int m_status = 200;
    header_fields m_headers;
    std::string m_body;
};

/// Value of the first header called `name`, or null.
const std::string* find_header(const header_fields& headers, std::string_view name);

/// Number of headers called `name`.
std::size_t count_headers(const header_fields& headers, std::string_view name);

/// Replaces all headers called `name` by one.
void set_header(header_fields& headers, std::string_view name, std::string value);

/// Compares ASCII text without regard to case.
bool equal_ignoring_case(std::string_view a, std::string_view b);

/// Standard reason phrase of `status`, or "Status" when there is none.
std::string_view reason_phrase(int status);

} // namespace azureladder::http
