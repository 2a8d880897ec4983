#pragma once

#include <string>
#include <vector>

namespace azureladder::sidecar {

struct header_field
{
    std::string m_name;
    std::string m_value;
};

using header_fields = std::vector<header_field>;

} // namespace azureladder::sidecar
