#include "byte_budget.hpp"

#include "byte_reservation.hpp"

#include <algorithm>

namespace azureladder::sidecar_runtime {

bool byte_budget::make_room(const byte_reservation& growing)
{
    while (m_used_bytes > m_max_bytes) {
        const auto largest =
            std::max_element(m_reservations.begin(), m_reservations.end(),
                             [](const auto* a, const auto* b) { return a->bytes() < b->bytes(); });
        if (largest == m_reservations.end() || (*largest)->bytes() <= growing.bytes())
            return false;
        (*largest)->revoke();
    }
    return true;
}

} // namespace azureladder::sidecar_runtime
