#pragma once

#include "request_head.hpp"

#include <iosfwd>
#include <string_view>

namespace cxxtools::http {
class Request;
} // namespace cxxtools::http

namespace azureladder::http {

/// Returns the bytes that `buffer` still holds before its read position. They are valid until the
/// next read.
std::string_view consumed_bytes(const std::streambuf& buffer);

/// Returns the request line and headers of a request that cxxtools has parsed. `consumed` holds the
/// bytes before the read position. If they contain the complete header, it is parsed strictly from
/// them. Otherwise the header arrived in several reads, and the result uses the parts that cxxtools
/// parsed.
result<request, request_rejection> extract_request_head(const cxxtools::http::Request& parsed,
                                                        std::string_view consumed);

} // namespace azureladder::http
