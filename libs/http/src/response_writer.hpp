#pragma once

#include "request_head.hpp"

#include <iosfwd>

namespace cxxtools::http {
class Reply;
} // namespace cxxtools::http

namespace azureladder::http {

/// Copies the status and headers of `message`, the response to `original_request`, into
/// `cxxtools_reply`, and its body to `out`. Omits headers that describe the connection or the
/// transfer coding, because cxxtools writes its own. Writes a 500 instead when the header of
/// `message` cannot be sent.
void write_response(const request& original_request, const response& message, std::ostream& out,
                    cxxtools::http::Reply& cxxtools_reply);

/// Returns the response for a handler that failed or whose response cannot be sent. It reports that
/// the request may have been executed.
response internal_error_response(const request& original_request);

/// Writes the response to a rejected request to the socket and closes the sending side. Then reads
/// and discards input for a short time: closing a socket with unread bytes resets the connection,
/// and the caller could lose the response.
void send_rejection(int descriptor, const request_rejection& rejection,
                    const request& rejected_request);

} // namespace azureladder::http
