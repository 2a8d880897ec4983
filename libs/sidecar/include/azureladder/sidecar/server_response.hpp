#pragma once

#include <azureladder/sidecar/header_field.hpp>

#include <memory>
#include <string>

namespace azureladder::sidecar {

/// Complete response of a backend server with its end-to-end headers.
struct server_response
{
    int m_status = 0;
    header_fields m_headers;
    std::string m_body;
};

/// Why a response can't be passed on to a caller in HTTP/1.1: its status is not final (200 to 599),
/// the name of a field is not a token, or its value has a control byte other than a tab (RFC 9110,
/// sections 5 and 15). Null if it can.
const char* find_defect(const server_response& response);

using server_response_ptr = std::shared_ptr<const server_response>;

} // namespace azureladder::sidecar
