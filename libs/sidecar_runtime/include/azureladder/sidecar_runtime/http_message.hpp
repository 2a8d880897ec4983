#pragma once

#include <azureladder/sidecar/header_field.hpp>

#include <string>
#include <string_view>

namespace azureladder::sidecar_runtime {

/// A complete HTTP request. Header names keep the spelling that was received.
struct http_request
{
    std::string m_method = "GET";
    std::string m_target = "/";
    sidecar::header_fields m_headers;
    std::string m_body;
};

/// A complete HTTP response.
struct http_response
{
    int m_status = 0;
    sidecar::header_fields m_headers;
    std::string m_body;
};

/// Memory of a header field beside its text, in a parser or in a list of fields. Thousands of short
/// fields take many times their bytes on the wire.
inline constexpr std::size_t field_overhead_bytes = 96;

/// Compares header names, which are case-insensitive.
bool same_header_name(std::string_view a, std::string_view b);

/// First value of a header, or an empty string when the header is missing.
std::string_view header_value(const sidecar::header_fields& headers, std::string_view name);

/// Whether a header applies to one connection only (RFC 9110, section 7.6.1) or to message framing.
bool is_hop_by_hop(std::string_view name);

} // namespace azureladder::sidecar_runtime
