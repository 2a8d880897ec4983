#pragma once

#include <azureladder/base/json.hpp>
#include <azureladder/http/message.hpp>

#include <optional>
#include <string>

namespace azureladder::backend_double {

/// Value of the header `name`, or an empty text.
std::string header_or_empty(const http::request& message, std::string_view name);

/// Number in the header `name`, or nothing.
std::optional<std::uint64_t> header_number(const http::request& message, std::string_view name);

/// Slice space of a request: its service, or a key group of it.
std::string space_of(const http::request& message);

/// Fields that identify a request in the records of the double. Slice and epoch are numbers where
/// they were received as such.
json identity_of(const http::request& message, const std::string& server,
                 const std::string& service);

/// Text of the field `name`, which may be a string or a number, or nothing.
std::optional<std::string> text_field(const json& body, const char* name);

} // namespace azureladder::backend_double
