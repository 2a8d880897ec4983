#pragma once

#include "request_head.hpp"

#include <iosfwd>

namespace cxxtools::http {
class Reply;
} // namespace cxxtools::http

namespace azureladder::http {

/// Puts `message`, the response to `answered`, into the reply of cxxtools. Headers that describe
/// the connection or the transfer coding are left out, because cxxtools writes its own. A response
/// whose header cannot be sent becomes a 500.
void write_response(const request& original_request, const response& message, std::ostream& out,
                    cxxtools::http::Reply& cxxtools_reply);

/// Response for a handler that failed or whose response cannot be sent. The request may have been
/// executed.
response internal_error_response(const request& original_request);

/// Sends the response to a refused request directly and closes the sending side. Then reads what
/// the caller still sends for a short time: closing with unread bytes would reset the connection,
/// and the caller could lose the response.
void send_rejection(int descriptor, const request_rejection& rejection,
                    const request& rejected_request);

} // namespace azureladder::http
