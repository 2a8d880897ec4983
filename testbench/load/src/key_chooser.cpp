#include "key_chooser.hpp"

#include <algorithm>
#include <cmath>

namespace azureladder::load {

key_chooser::key_chooser(const key_settings& settings) : m_settings(settings)
{
    if (settings.m_distribution != key_distribution::zipf)
        return;
    double sum = 0;
    m_cumulative.reserve(settings.m_count);
    for (std::uint32_t rank = 1; rank <= settings.m_count; ++rank) {
        sum += std::pow(double(rank), -settings.m_zipf_exponent);
        m_cumulative.push_back(sum);
    }
}

std::string key_chooser::choose(random_source& random, duration since_start) const
{
    if (m_settings.m_count == 0)
        return {};
    return m_settings.m_prefix + std::to_string(choose_index(random, since_start));
}

std::uint32_t key_chooser::choose_index(random_source& random, duration since_start) const
{
    const auto count = m_settings.m_count;
    switch (m_settings.m_distribution) {
    case key_distribution::zipf: {
        const auto point = random.uniform() * m_cumulative.back();
        const auto found = std::upper_bound(m_cumulative.begin(), m_cumulative.end(), point);
        return std::min(std::uint32_t(found - m_cumulative.begin()), count - 1);
    }
    case key_distribution::hot: {
        if (random.uniform() >= m_settings.m_hot_share)
            return random.below(count);
        const auto move = std::max(m_settings.m_hot_move, duration(1));
        const auto period = std::uint64_t(since_start / move);
        const auto first = period * m_settings.m_hot_count;
        return std::uint32_t((first + random.below(m_settings.m_hot_count)) % count);
    }
    case key_distribution::uniform:
        break;
    }
    return random.below(count);
}

} // namespace azureladder::load
