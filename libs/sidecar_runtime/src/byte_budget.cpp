#include "byte_budget.hpp"

#include "byte_reservation.hpp"

namespace azureladder::sidecar_runtime {

namespace {

/// Time after which bytes that wait for a client count twice.
constexpr std::chrono::milliseconds waiting_unit{100};

/// Bytes of a reservation, weighted with the time for which they have waited for a client.
std::size_t weight(const byte_reservation& held, std::chrono::steady_clock::time_point now)
{
    const auto since = held.waiting_since();
    if (!since || now <= *since)
        return held.bytes();
    return held.bytes() * (1 + static_cast<std::size_t>((now - *since) / waiting_unit));
}

} // namespace

bool byte_budget::make_room(const byte_reservation& growing,
                            std::chrono::steady_clock::time_point now)
{
    while (m_used_bytes > m_max_bytes) {
        byte_reservation* worst = nullptr;
        for (auto* held : m_reservations) {
            if (held->is_revocable() &&
                (worst == nullptr || weight(*held, now) > weight(*worst, now)))
                worst = held;
        }
        if (worst == nullptr || weight(*worst, now) <= weight(growing, now))
            return false;
        worst->revoke();
    }
    return true;
}

} // namespace azureladder::sidecar_runtime
