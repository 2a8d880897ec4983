#pragma once

#include "request_head.hpp"

#include <iosfwd>
#include <string_view>

namespace cxxtools::http {
class Request;
} // namespace cxxtools::http

namespace azureladder::http {

/// Bytes that the stream buffer still holds in front of its read position; valid until it is read.
std::string_view consumed_bytes(const std::streambuf& buffer);

/// Request line and headers of a request that cxxtools has parsed. `consumed` are the bytes in
/// front of the read position. When they contain the whole header, it is parsed strictly from
/// them. Otherwise the header arrived in several reads and only what cxxtools parsed is left.
result<request, request_rejection> extract_request_head(const cxxtools::http::Request& parsed,
                                                        std::string_view consumed);

} // namespace azureladder::http
