#pragma once

#include <azureladder/http/message.hpp>

#include <optional>

namespace azureladder::http {

/// Bytes of `message` as sent to `host`, or nothing when a field cannot be represented, for
/// example a header value with a line break. Headers that concern only one connection are
/// replaced by those of this client.
std::optional<std::string> serialize_request(const request& message, const std::string& host,
                                             bool keep_connection);

} // namespace azureladder::http
