#pragma once

#include <cstddef>

namespace azureladder::sidecar {

/// Position of a node in the order by name of the nodes that it is connected to and itself.
/// Connected nodes take turns at a task that one of them has to do, without further messages.
struct check_turn
{
    std::size_t m_rank = 0;
    std::size_t m_members = 1;
};

} // namespace azureladder::sidecar
