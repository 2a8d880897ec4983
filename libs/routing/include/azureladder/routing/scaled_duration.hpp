#pragma once

#include <azureladder/base/time.hpp>

namespace azureladder::routing {

inline duration scaled(duration value, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

} // namespace azureladder::routing
