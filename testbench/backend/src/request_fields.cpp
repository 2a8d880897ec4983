#include "request_fields.hpp"

#include <azureladder/base/hash.hpp>
#include <azureladder/testbench/json_http.hpp>

#include <cinttypes>
#include <cstdio>

namespace azureladder::backend_double {

namespace {

std::string hex_hash(const std::string& key)
{
    constexpr std::size_t digits = 16;
    char text[digits + 1];
    std::snprintf(text, sizeof(text), "%016" PRIx64, hash64(key));
    return text;
}

json number_or_text(const std::string& text)
{
    const auto number = testbench::parse_number(text);
    return number ? json(*number) : json(text);
}

} // namespace

std::string header_or_empty(const http::request& message, std::string_view name)
{
    const auto* value = http::find_header(message.m_headers, name);
    return value == nullptr ? std::string() : *value;
}

std::optional<std::uint64_t> header_number(const http::request& message, std::string_view name)
{
    return testbench::parse_number(header_or_empty(message, name));
}

std::string space_of(const http::request& message)
{
    const auto space = header_or_empty(message, "Azureladder-Space");
    return space.empty() ? header_or_empty(message, "Azureladder-Service") : space;
}

json identity_of(const http::request& message, const std::string& server,
                 const std::string& service)
{
    const auto key = header_or_empty(message, "Azureladder-Key");
    return {{"server", server},
            {"service", service},
            {"request_id", header_or_empty(message, "Request-Id")},
            {"key", key},
            {"key_hash", hex_hash(key)},
            {"space", space_of(message)},
            {"slice", number_or_text(header_or_empty(message, "Azureladder-Slice"))},
            {"epoch", number_or_text(header_or_empty(message, "Azureladder-Epoch"))},
            {"method", message.m_method},
            {"idempotency_key", header_or_empty(message, "Idempotency-Key")}};
}

std::optional<std::string> text_field(const json& body, const char* name)
{
    const auto found = body.find(name);
    if (found == body.end())
        return std::nullopt;
    if (found->is_string())
        return found->get<std::string>();
    if (found->is_number_unsigned())
        return std::to_string(found->get<std::uint64_t>());
    return std::nullopt;
}

} // namespace azureladder::backend_double
