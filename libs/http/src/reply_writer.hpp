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
void write_reply(const request& answered, const response& message, std::ostream& out,
                 cxxtools::http::Reply& answer);

/// Response for a handler that failed or whose response cannot be sent. The request may have been
/// executed.
response failed_response(const request& answered);

/// Sends the response to a refused request directly and closes the sending side. Then reads what
/// the caller still sends for a short time: closing with unread bytes would reset the connection,
/// and the caller could lose the response.
void send_refusal(int descriptor, const refusal& refused, const request& refused_request);

} // namespace azureladder::http
