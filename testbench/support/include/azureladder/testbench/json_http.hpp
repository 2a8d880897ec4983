#pragma once

#include <azureladder/base/json.hpp>
#include <azureladder/http/message.hpp>

#include <optional>
#include <string_view>

namespace azureladder::testbench {

/// Response with a JSON body.
http::response json_response(int status, const json& body);

/// JSON object in the body of `message`, or nothing.
std::optional<json> json_object_in(const http::request& message);

/// Part of a request target in front of the query.
std::string_view path_of(std::string_view target);

/// Value of the query parameter `name`, without percent decoding, or nothing.
std::optional<std::string_view> query_value(std::string_view target, std::string_view name);

/// Decimal number without sign in `text`, or nothing.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace azureladder::testbench
