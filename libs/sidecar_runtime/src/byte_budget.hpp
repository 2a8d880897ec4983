#pragma once

#include <chrono>
#include <cstddef>
#include <set>

namespace azureladder::sidecar_runtime {

class byte_reservation;

/// Limit of the bytes of several owners together. An owner that needs more bytes than are left
/// makes the worst reservation fail, which may be its own, so that a few large owners do not fail
/// many small ones. The worst is the largest, where bytes that wait for a client count more the
/// longer they wait: clients that make no progress give way to ordinary ones.
class byte_budget
{
public:
    explicit byte_budget(std::size_t max_bytes) : m_max_bytes(max_bytes) {}
    byte_budget(const byte_budget&) = delete;
    byte_budget& operator=(const byte_budget&) = delete;

    std::size_t used_bytes() const { return m_used_bytes; }

private:
    friend class byte_reservation;

    /// Revokes worse reservations until the limit is met. Returns false if `growing` is the worst
    /// one itself.
    bool make_room(const byte_reservation& growing, std::chrono::steady_clock::time_point now);

    std::size_t m_max_bytes;
    std::size_t m_used_bytes = 0;
    std::set<byte_reservation*> m_reservations;
};

} // namespace azureladder::sidecar_runtime
