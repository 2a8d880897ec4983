#pragma once

#include "request_head.hpp"

#include <iosfwd>

namespace cxxtools::http {
class Reply;
} // namespace cxxtools::http

namespace azureladder::http {

/// Puts `message`, the response to `method`, into the reply of cxxtools. Headers that describe the
/// connection or the transfer coding are left out, because cxxtools writes its own. A response
/// whose header cannot be sent becomes a 500.
void write_reply(const std::string& method, const response& message, std::ostream& out,
                 cxxtools::http::Reply& answer);

/// Sends the response to a refused request directly and closes the sending side. Then reads what
/// the caller still sends for a short time: closing with unread bytes would reset the connection,
/// and the caller could lose the response.
void send_refusal(int descriptor, const refusal& refused);

} // namespace azureladder::http
