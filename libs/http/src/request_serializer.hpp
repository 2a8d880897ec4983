#pragma once

#include <azureladder/http/message.hpp>

#include <optional>

namespace azureladder::http {

/// Returns the HTTP/1.1 bytes of `message` for `host`, or nothing when a part is not valid HTTP,
/// for example a header value with a line break. Replaces hop-by-hop headers by those of this
/// client.
std::optional<std::string> serialize_request(const request& message, const std::string& host,
                                             bool keep_connection);

} // namespace azureladder::http
