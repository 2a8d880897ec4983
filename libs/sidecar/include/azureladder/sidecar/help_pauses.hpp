#pragma once

#include <azureladder/base/time.hpp>

namespace azureladder::sidecar {

/// When members change the ranges of an owner that can't do it itself.
struct help_pauses
{
    /// Wait of the first member, since the owner needs help.
    duration m_first{};

    /// Further wait of each member after the first.
    duration m_turn{};
};

} // namespace azureladder::sidecar
