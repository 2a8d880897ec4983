#include "request_serializer.hpp"

#include "head_syntax.hpp"

#include <algorithm>

namespace azureladder::http {

namespace {

// The client writes its own framing headers. It never waits for an interim response, so it omits
// Expect.
constexpr std::string_view replaced_headers[] = {
    "Connection", "Content-Length", "Expect",  "Keep-Alive",        "Proxy-Connection",
    "TE",         "Trailer",        "Upgrade", "Transfer-Encoding",
};

constexpr std::size_t typical_head_bytes = 512;

bool is_replaced(std::string_view name)
{
    return std::any_of(
        std::begin(replaced_headers), std::end(replaced_headers),
        [name](std::string_view replaced) { return equals_ignoring_case(name, replaced); });
}

bool needs_content_length(const request& message)
{
    const auto& method = message.m_method;
    return !message.m_body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

std::optional<std::string> serialize_request(const request& message, const std::string& host,
                                             bool keep_connection)
{
    if (!is_token(message.m_method) || !is_request_target(message.m_target))
        return std::nullopt;
    std::string text = message.m_method + " " + message.m_target + " HTTP/1.1\r\n";
    text.reserve(typical_head_bytes + message.m_body.size());
    if (find_header(message.m_headers, "Host") == nullptr)
        text += "Host: " + host + "\r\n";
    for (const auto& field : message.m_headers) {
        if (is_replaced(field.m_name))
            continue;
        if (!is_token(field.m_name) || !is_field_value(field.m_value))
            return std::nullopt;
        text.append(field.m_name).append(": ").append(field.m_value).append("\r\n");
    }
    if (!keep_connection)
        text += "Connection: close\r\n";
    if (needs_content_length(message))
        text += "Content-Length: " + std::to_string(message.m_body.size()) + "\r\n";
    text += "\r\n";
    text += message.m_body;
    return text;
}

} // namespace azureladder::http
