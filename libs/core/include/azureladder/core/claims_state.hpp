#pragma once

namespace azureladder::core {

struct claims_state
{
};

} // namespace azureladder::core
