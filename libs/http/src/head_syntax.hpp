#pragma once

#include <azureladder/http/message.hpp>

#include <string_view>

namespace azureladder::http {

/// True for a non-empty HTTP token (RFC 9110, 5.6.2): method and header names.
bool is_token(std::string_view text);

/// True for a non-empty request target without spaces, control characters and non-ASCII bytes.
bool is_request_target(std::string_view text);

/// True when a response with `status` to `method` has no body by definition.
bool has_no_body(std::string_view method, int status);

/// True when `value` contains no control character except a tab.
bool is_field_value(std::string_view value);

/// Text without spaces and tabs at both ends.
std::string_view trim(std::string_view text);

/// Cuts the next line that ends in CR LF off `text`. Returns false when there is none or when the
/// line contains another CR or LF.
bool next_line(std::string_view& text, std::string_view& line);

/// Parses header lines up to and including the empty line. Returns false for a line without
/// colon, a name that is no token (such as one followed by a space), folded lines, control
/// characters, and lines that do not end in CR LF.
bool parse_header_lines(std::string_view text, header_fields& headers);

/// Parses decimal digits only; no sign, no spaces, at most 18 digits.
bool parse_decimal(std::string_view text, std::uint64_t& number);

} // namespace azureladder::http
