#include "link_direction.hpp"

#include <algorithm>

namespace azureladder::proxy {

bool link_direction::loses_datagram()
{
    return m_faults.m_cut || m_faults.m_swallow ||
           (m_faults.m_drop > 0 && m_random.uniform() < m_faults.m_drop);
}

clock_type::time_point link_direction::transmission_end(std::size_t size)
{
    constexpr double us_per_s = 1e6;
    const auto now = clock_type::now();
    if (m_faults.m_bandwidth == 0)
        return now;
    const auto time =
        duration(std::int64_t(double(size) * us_per_s / double(m_faults.m_bandwidth)));
    m_transmission_end = std::max(m_transmission_end, now) + time;
    return m_transmission_end;
}

duration link_direction::jittered_delay()
{
    return m_faults.m_delay +
           duration(std::int64_t(double(m_faults.m_jitter.count()) * m_random.uniform()));
}

clock_type::time_point link_direction::datagram_release(std::size_t size)
{
    auto release = transmission_end(size) + jittered_delay();
    if (m_faults.m_reorder > 0 && m_random.uniform() < m_faults.m_reorder)
        release += reorder_delay;
    return release;
}

clock_type::time_point link_direction::stream_release(std::size_t size,
                                                      clock_type::time_point previous)
{
    auto release = transmission_end(size) + jittered_delay();
    if (m_faults.m_drop > 0 && m_random.uniform() < m_faults.m_drop)
        release += tcp_retransmission_delay;
    return std::max(release, previous);
}

json link_direction::status() const
{
    return {{"faults", to_json(m_faults)},
            {"passed_bytes", m_passed_bytes},
            {"passed_units", m_passed_units},
            {"dropped_units", m_dropped_units}};
}

} // namespace azureladder::proxy
