#pragma once

#include <azureladder/sidecar/header_field.hpp>

#include <string>
#include <string_view>

namespace azureladder::sidecar_runtime {

/// A whole HTTP request. Header names keep their spelling.
struct http_request
{
    std::string m_method = "GET";
    std::string m_target = "/";
    sidecar::header_fields m_headers;
    std::string m_body;
};

/// A whole HTTP response.
struct http_response
{
    int m_status = 0;
    sidecar::header_fields m_headers;
    std::string m_body;
};

/// Whether two header names are the same.
bool same_header_name(std::string_view a, std::string_view b);

/// First value of a header, or an empty text.
std::string_view header_value(const sidecar::header_fields& headers, std::string_view name);

/// Whether a header concerns one connection only (RFC 9110, section 7.6.1) or frames its message.
bool is_hop_by_hop(std::string_view name);

} // namespace azureladder::sidecar_runtime
