#pragma once

#include <azureladder/base/time.hpp>

namespace azureladder::sidecar {

/// Staggered delays after which members change the ranges of an owner that is unable to do so.
/// Members wait for different times, so that their writes do not conflict.
struct staggered_delay
{
    /// Delay of the first member, counted from the detection of the condition.
    duration m_first{};

    /// Additional delay of each further member.
    duration m_increment{};
};

} // namespace azureladder::sidecar
