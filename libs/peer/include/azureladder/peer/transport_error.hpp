#pragma once

#include <string>

namespace azureladder::peer {

/// Reason why a transport could not start.
struct transport_error
{
    std::string m_message;
};

} // namespace azureladder::peer
