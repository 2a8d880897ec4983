#pragma once

namespace azureladder::core {

struct ownership_state
{
};

} // namespace azureladder::core
