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

using server_response_ptr = std::shared_ptr<const server_response>;

} // namespace azureladder::sidecar
