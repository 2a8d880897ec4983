#include "byte_reservation.hpp"

#include "byte_budget.hpp"

#include <utility>

namespace azureladder::sidecar_runtime {

byte_reservation::byte_reservation(byte_budget& budget, std::function<void()> on_revoked)
    : m_budget(budget), m_on_revoked(std::move(on_revoked))
{
    m_budget.m_reservations.insert(this);
}

byte_reservation::~byte_reservation()
{
    m_budget.m_reservations.erase(this);
    m_budget.m_used_bytes -= m_bytes;
}

bool byte_reservation::resize(std::size_t bytes, time_point now)
{
    const std::size_t former_bytes = std::exchange(m_bytes, bytes);
    m_budget.m_used_bytes += bytes - former_bytes;
    if (bytes <= former_bytes || m_budget.make_room(*this, now))
        return true;
    m_budget.m_used_bytes -= bytes - former_bytes;
    m_bytes = former_bytes;
    return false;
}

void byte_reservation::revoke()
{
    m_budget.m_reservations.erase(this);
    m_budget.m_used_bytes -= std::exchange(m_bytes, 0);
    // The owner may destroy the reservation.
    const auto on_revoked = std::move(m_on_revoked);
    on_revoked();
}

} // namespace azureladder::sidecar_runtime
