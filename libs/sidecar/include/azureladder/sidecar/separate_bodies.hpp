#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace azureladder::sidecar {

/// Bodies that travel apart from their requests, of all executions of a node.
struct separate_bodies
{
    /// Number of bodies that were not requested from their ingress yet.
    std::size_t m_unrequested = 0;

    /// Executions whose bodies are in transfer.
    std::vector<std::uint64_t> m_in_transfer;

    /// Bytes of the bodies that have not arrived.
    std::size_t m_missing_bytes = 0;

    /// Bytes of the bodies in transfer, and of those that have arrived until their execution has
    /// ended.
    std::size_t m_memory_bytes = 0;
};

} // namespace azureladder::sidecar
