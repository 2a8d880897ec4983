#pragma once

namespace azureladder::core {

struct routing_state
{
};

} // namespace azureladder::core
