#include "bulk_pacer.hpp"

#include <algorithm>

namespace azureladder::sidecar_runtime {

namespace {

/// Share of the link that bulk data may use. The rest is left to requests and control frames.
constexpr double bulk_share = 0.6;

/// Bulk data that may be sent at once after a pause.
constexpr double max_burst_bytes = 32.0 * 1024;

constexpr double bytes_per_s_and_mbps = 1e6 / 8;

} // namespace

bulk_pacer make_bulk_pacer(double link_mbps)
{
    bulk_pacer pacer;
    pacer.m_bytes_per_s = link_mbps * bytes_per_s_and_mbps * bulk_share;
    pacer.m_bytes = max_burst_bytes;
    return pacer;
}

bool may_send_bulk(bulk_pacer& pacer, time_point now)
{
    if (pacer.m_bytes_per_s <= 0.0)
        return true;
    if (pacer.m_updated_at != time_point{}) {
        const double elapsed_s = std::chrono::duration<double>(now - pacer.m_updated_at).count();
        pacer.m_bytes = std::min(max_burst_bytes, pacer.m_bytes + elapsed_s * pacer.m_bytes_per_s);
    }
    pacer.m_updated_at = now;
    return pacer.m_bytes > 0.0;
}

void record_bulk(bulk_pacer& pacer, std::size_t bytes)
{
    pacer.m_bytes -= static_cast<double>(bytes);
}

} // namespace azureladder::sidecar_runtime
