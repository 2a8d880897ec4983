#include <azureladder/key_ranges/key_load.hpp>

#include <azureladder/key_ranges/range_entry.hpp>

namespace azureladder::key_ranges {

namespace {

/// Smaller counts are set to zero, so that repeated decay doesn't produce subnormal numbers.
constexpr float min_count = 0.001F;

} // namespace

void record_key_request(key_load& load, std::uint32_t key)
{
    if (key > max_key)
        return;
    if (load.m_counts.empty())
        load.m_counts.resize(static_cast<std::size_t>(max_key) + 1);
    load.m_counts[key] += 1.0F;
}

void decay_counts(key_load& load, float factor)
{
    for (float& count : load.m_counts)
        count = count < min_count ? 0.0F : count * factor;
}

double load_between(const key_load& load, std::uint32_t from, std::uint32_t to)
{
    double sum = 0.0;
    for (std::size_t key = from; key <= to && key < load.m_counts.size(); ++key)
        sum += load.m_counts[key];
    return sum;
}

std::optional<key_subrange> find_narrowest_subrange(const key_load& load, std::uint32_t from,
                                                    std::uint32_t to, double min_load,
                                                    double max_load)
{
    if (load.m_counts.empty() || to > max_key || min_load <= 0.0)
        return std::nullopt;
    std::optional<key_subrange> best;
    double sum = 0.0;
    std::uint32_t start = from;
    for (std::uint32_t end = from; end <= to; ++end) {
        sum += load.m_counts[end];
        while (start < end && (load.m_counts[start] == 0.0F ||
                               sum - load.m_counts[start] >= min_load || sum > max_load))
            sum -= load.m_counts[start++];
        if (sum < min_load || sum > max_load)
            continue;
        if (!best || end - start < best->m_to - best->m_from)
            best = key_subrange{start, end, sum};
    }
    return best;
}

std::optional<key_subrange> find_outer_subrange(const key_load& load, std::uint32_t from,
                                                std::uint32_t to, double min_load, double max_load)
{
    if (load.m_counts.empty() || from > to || to > max_key || min_load <= 0.0)
        return std::nullopt;
    const double whole = load_between(load, from, to);
    if (whole < min_load)
        return std::nullopt;
    if (whole <= max_load)
        return key_subrange{from, to, whole};
    double sum = 0.0;
    for (std::uint32_t end = from; sum < min_load; ++end) {
        sum += load.m_counts[end];
        if (sum >= min_load && sum <= max_load)
            return key_subrange{from, end, sum};
    }
    sum = 0.0;
    for (std::uint32_t start = to; sum < min_load; --start) {
        sum += load.m_counts[start];
        if (sum >= min_load && sum <= max_load)
            return key_subrange{start, to, sum};
    }
    return std::nullopt;
}

} // namespace azureladder::key_ranges
