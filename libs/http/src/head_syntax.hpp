#pragma once

#include <azureladder/http/message.hpp>

#include <string_view>

namespace azureladder::http {

/// True for a non-empty HTTP token (RFC 9110, 5.6.2), such as a method or a header name.
bool is_token(std::string_view text);

/// True for a non-empty text of visible ASCII characters, which a request target must be.
bool is_request_target(std::string_view text);

/// True when HTTP defines that a response with `status` to `method` has no body.
bool has_no_body(std::string_view method, int status);

/// True when `value` contains no control character except a tab.
bool is_field_value(std::string_view value);

/// Returns `text` without leading and trailing spaces and tabs.
std::string_view trim(std::string_view text);

/// Moves the next line, without its CR LF, from `text` to `line`. Returns false when no line ends
/// in CR LF or when the line contains a single CR or LF.
bool next_line(std::string_view& text, std::string_view& line);

/// Parses header lines up to and including the empty line. Returns false for a line without a
/// colon, a name that is not a token (such as one followed by a space), a folded line, a control
/// character, a line that does not end in CR LF, and bytes after the empty line.
bool parse_header_lines(std::string_view text, header_fields& headers);

/// Parses a decimal number of at most 18 digits, without sign and spaces.
bool parse_decimal(std::string_view text, std::uint64_t& number);

} // namespace azureladder::http
